package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.SchedulerAction;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.WorkItem;

/**
 * Measures a dispatch policy by the events that it gets and the actions that it returns.
 *
 * <p>{@link #handle} is called by one thread at a time, as for any policy. The other methods are
 * safe for use by several threads.
 */
public final class ObservedPolicy implements DispatchPolicy {
  private static final int MAX_TRACES = 4096;
  private static final String ANSWERED = "answered";
  private static final String CALLER_GONE = "caller-gone";
  private static final String HANDED_OVER = "handed-over";
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A request that has not ended. */
  private static final class Active {
    private final WorkItem item;
    private String upstream;
    private long lastTokenNanos;

    Active(WorkItem item) {
      this.item = item;
    }
  }

  private final DispatchPolicy policy;
  private final Metrics metrics;
  private final Map<Long, Active> active = new HashMap<>();
  private final Map<Tier, int[]> tierCounts = new LinkedHashMap<>();
  private final Map<String, int[]> teamCounts = new HashMap<>();
  private final Map<String, Integer> upstreamCounts = new ConcurrentHashMap<>();
  private final AtomicReference<ImmutableMap<Tier, LoadSnapshot.Counts>> tiers =
      new AtomicReference<>(ImmutableMap.of());
  private final Map<String, LoadSnapshot.Counts> teams = new ConcurrentHashMap<>();
  private final Map<Long, RequestTrace> traces = new ConcurrentHashMap<>();
  private final Map<String, Long> keyByContent = new ConcurrentHashMap<>();
  private final ArrayDeque<WorkItem> traced = new ArrayDeque<>();
  private final PoolHealthMeter health = new PoolHealthMeter();

  /** Most events are tokens, which change no count; the first event publishes the zeros. */
  private boolean countsChanged = true;

  /**
   * Creates an observer.
   *
   * @param policy the policy; used by this object only from now on
   * @param metrics receives the measurements
   */
  public ObservedPolicy(DispatchPolicy policy, Metrics metrics) {
    this.policy = policy;
    this.metrics = metrics;
    for (Tier tier : Tier.values()) {
      tierCounts.put(tier, new int[2]);
    }
  }

  @Override
  public List<SchedulerAction> handle(SchedulerEvent event) {
    before(event);
    List<SchedulerAction> actions = policy.handle(event);
    actions.forEach(action -> after(action, event.atNanos()));
    if (countsChanged) {
      countsChanged = false;
      publishTiers();
    }
    return actions;
  }

  /**
   * Returns the requests on the node.
   *
   * @return a copy
   */
  public LoadSnapshot load() {
    return new LoadSnapshot(
        tiers.get(), ImmutableMap.copyOf(teams), ImmutableMap.copyOf(upstreamCounts));
  }

  /** Returns how well each pool is served. */
  PoolHealthMeter health() {
    return health;
  }

  /**
   * Finds what became of a recent request.
   *
   * @param shop the shop
   * @param contentDigest the digest of kind and body
   * @return the steps of the last request with this content, or empty if it is not held any more
   */
  public Optional<RequestTrace> trace(String shop, String contentDigest) {
    Long key = keyByContent.get(contentKey(shop, contentDigest));
    return key == null ? Optional.empty() : Optional.ofNullable(traces.get(key));
  }

  /**
   * Finds what became of a recent request.
   *
   * @param key the key of the request in the scheduler
   * @return the steps, or empty if they are not held any more
   */
  public Optional<RequestTrace> trace(long key) {
    return Optional.ofNullable(traces.get(key));
  }

  private void before(SchedulerEvent event) {
    if (event instanceof SchedulerEvent.Submitted submitted) {
      submitted(submitted.item());
    } else if (event instanceof SchedulerEvent.TokensProduced tokens) {
      tokens(tokens);
    } else if (event instanceof SchedulerEvent.Finished finished) {
      ended(finished.key(), finished.succeeded() ? ANSWERED : "upstream-failed", event);
    } else if (event instanceof SchedulerEvent.ConnectionBroken broken) {
      ended(broken.key(), "connection-broken", event);
    } else if (event instanceof SchedulerEvent.CallerGone gone) {
      ended(gone.key(), CALLER_GONE, event);
    } else if (event instanceof SchedulerEvent.Refused refused) {
      Active request = active.get(refused.key());
      if (request != null) {
        step(request.item, "refused", String.valueOf(request.upstream), event.atNanos());
        move(request, null);
      }
    }
  }

  private void after(SchedulerAction action, long atNanos) {
    if (action instanceof SchedulerAction.Dispatch dispatch) {
      Active request = active.get(dispatch.item().key());
      if (request != null) {
        step(request.item, "dispatched", dispatch.upstream().name(), atNanos);
        move(request, dispatch.upstream().name());
      }
    } else if (action instanceof SchedulerAction.Reject reject) {
      end(reject.item().key(), "not-run", reject.reason().label(), atNanos);
    } else if (action instanceof SchedulerAction.HandOver handOver) {
      end(handOver.item().key(), HANDED_OVER, handOver.node(), atNanos);
    }
  }

  private void submitted(WorkItem item) {
    Active request = new Active(item);
    active.put(item.key(), request);
    count(item, 0, 1);
    traced.add(item);
    traces.put(
        item.key(),
        new RequestTrace(
            item.key(), item.kind().name(), item.tier().label(), item.team(), ImmutableList.of()));
    keyByContent.put(contentKey(item.shop(), item.contentDigest()), item.key());
    step(item, "submitted", "", item.arrivalNanos());
    while (traced.size() > MAX_TRACES) {
      WorkItem oldest = traced.remove();
      traces.remove(oldest.key());
      keyByContent.remove(contentKey(oldest.shop(), oldest.contentDigest()), oldest.key());
    }
  }

  private void tokens(SchedulerEvent.TokensProduced event) {
    Active request = active.get(event.key());
    if (request == null) {
      return;
    }
    Tier tier = request.item.tier();
    if (request.lastTokenNanos == 0) {
      metrics.recordFirstToken(
          tier, Duration.ofNanos(event.atNanos() - request.item.arrivalNanos()));
      step(request.item, "first-token", "", event.atNanos());
    } else {
      metrics.recordTokenGap(tier, Duration.ofNanos(event.atNanos() - request.lastTokenNanos));
    }
    request.lastTokenNanos = event.atNanos();
  }

  private void ended(long key, String outcome, SchedulerEvent event) {
    end(key, outcome, "", event.atNanos());
  }

  private void end(long key, String outcome, String detail, long atNanos) {
    Active request = active.remove(key);
    if (request == null) {
      return;
    }
    metrics.countEnded(request.item.kind(), outcome);
    if (!outcome.equals(CALLER_GONE) && !outcome.equals(HANDED_OVER)) {
      health.ended(request.item, outcome.equals(ANSWERED), atNanos);
    }
    step(request.item, outcome, detail, atNanos);
    if (request.upstream == null) {
      count(request.item, 0, -1);
    } else {
      count(request.item, 1, -1);
      health.runningChanged(request.item, -1);
      upstreamCounts.computeIfPresent(request.upstream, (name, n) -> n == 1 ? null : n - 1);
    }
  }

  /** Moves a request between the queue, where its upstream is null, and an upstream. */
  private void move(Active request, String upstream) {
    count(request.item, request.upstream == null ? 0 : 1, -1);
    count(request.item, upstream == null ? 0 : 1, 1);
    if (request.upstream != null) {
      health.runningChanged(request.item, -1);
      upstreamCounts.computeIfPresent(request.upstream, (name, n) -> n == 1 ? null : n - 1);
    }
    if (upstream != null) {
      health.runningChanged(request.item, 1);
      upstreamCounts.merge(upstream, 1, Integer::sum);
    }
    request.upstream = upstream;
  }

  private void count(WorkItem item, int column, int change) {
    countsChanged = true;
    tierCounts.get(item.tier())[column] += change;
    int[] counts = teamCounts.computeIfAbsent(item.team(), team -> new int[2]);
    counts[column] += change;
    if (counts[0] == 0 && counts[1] == 0) {
      teamCounts.remove(item.team());
      teams.remove(item.team());
    } else {
      teams.put(item.team(), new LoadSnapshot.Counts(counts[0], counts[1]));
    }
  }

  private void publishTiers() {
    Function<Tier, LoadSnapshot.Counts> counts =
        tier -> new LoadSnapshot.Counts(tierCounts.get(tier)[0], tierCounts.get(tier)[1]);
    tiers.set(tierCounts.keySet().stream().collect(ImmutableMap.toImmutableMap(t -> t, counts)));
    tierCounts.forEach((tier, values) -> metrics.setLoad(tier, values[0], values[1]));
  }

  private void step(WorkItem item, String action, String detail, long atNanos) {
    long millis = (atNanos - item.arrivalNanos()) / NANOS_PER_MILLI;
    traces.computeIfPresent(
        item.key(), (key, trace) -> trace.with(new RequestTrace.Step(millis, action, detail)));
  }

  private static String contentKey(String shop, String contentDigest) {
    return shop + "\n" + contentDigest;
  }
}

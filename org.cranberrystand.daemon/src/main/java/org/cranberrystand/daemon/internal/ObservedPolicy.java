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
 * Decorates a dispatch policy and derives metrics, load counts and request traces from its events
 * and actions.
 *
 * <p>{@link #handle} must be called by one thread at a time, as for any policy. The other methods
 * are safe for use by several threads.
 */
public final class ObservedPolicy implements DispatchPolicy {
  private static final int MAX_TRACES = 4096;
  private static final String ANSWERED = "answered";
  private static final String CALLER_GONE = "caller-gone";
  private static final String HANDED_OVER = "handed-over";
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A queued or running request. */
  private static final class ActiveRequest {
    private final WorkItem item;
    private String upstream;
    private long lastTokenNanos;

    ActiveRequest(WorkItem item) {
      this.item = item;
    }
  }

  private final DispatchPolicy policy;
  private final Metrics metrics;
  private final Map<Long, ActiveRequest> activeRequests = new HashMap<>();
  private final Map<Tier, int[]> tierCounts = new LinkedHashMap<>();
  private final Map<String, int[]> teamCounts = new HashMap<>();
  private final Map<String, Integer> upstreamCounts = new ConcurrentHashMap<>();
  private final AtomicReference<ImmutableMap<Tier, LoadSnapshot.Counts>> publishedTierCounts =
      new AtomicReference<>(ImmutableMap.of());
  private final Map<String, LoadSnapshot.Counts> publishedTeamCounts = new ConcurrentHashMap<>();
  private final Map<Long, RequestTrace> tracesByKey = new ConcurrentHashMap<>();
  private final Map<String, Long> latestKeyByContent = new ConcurrentHashMap<>();
  private final ArrayDeque<WorkItem> tracedItems = new ArrayDeque<>();
  private final PoolHealthMeter poolHealth = new PoolHealthMeter();

  /**
   * Whether the counts must be published again. Most events report tokens, which change no count.
   * Initially true, so that the first event publishes zeros.
   */
  private boolean countsChanged = true;

  /**
   * Creates an observer.
   *
   * @param policy the observed policy; must not be used by others afterwards
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
    recordEvent(event);
    List<SchedulerAction> actions = policy.handle(event);
    actions.forEach(action -> recordAction(action, event.atNanos()));
    if (countsChanged) {
      countsChanged = false;
      publishTiers();
    }
    return actions;
  }

  /**
   * Returns the numbers of queued and running requests on the node.
   *
   * @return an immutable snapshot
   */
  public LoadSnapshot load() {
    return new LoadSnapshot(
        publishedTierCounts.get(),
        ImmutableMap.copyOf(publishedTeamCounts),
        ImmutableMap.copyOf(upstreamCounts));
  }

  /** Returns the goodput and the urgent load of each pool. */
  PoolHealthMeter poolHealth() {
    return poolHealth;
  }

  /**
   * Returns the trace of the most recent request of a shop with a given content.
   *
   * @param shop the name of the shop
   * @param contentDigest the digest of kind and body in hexadecimal
   * @return the trace, or empty if it was evicted or never existed
   */
  public Optional<RequestTrace> trace(String shop, String contentDigest) {
    Long key = latestKeyByContent.get(contentKey(shop, contentDigest));
    return key == null ? Optional.empty() : Optional.ofNullable(tracesByKey.get(key));
  }

  /**
   * Returns the trace of a recent request.
   *
   * @param key the key of the request in the scheduler
   * @return the trace, or empty if it was evicted or never existed
   */
  public Optional<RequestTrace> trace(long key) {
    return Optional.ofNullable(tracesByKey.get(key));
  }

  private void recordEvent(SchedulerEvent event) {
    if (event instanceof SchedulerEvent.Submitted submitted) {
      recordSubmission(submitted.item());
    } else if (event instanceof SchedulerEvent.TokensProduced tokens) {
      recordTokens(tokens);
    } else if (event instanceof SchedulerEvent.Finished finished) {
      recordEnd(finished.key(), finished.succeeded() ? ANSWERED : "upstream-failed", event);
    } else if (event instanceof SchedulerEvent.ConnectionBroken broken) {
      recordEnd(broken.key(), "connection-broken", event);
    } else if (event instanceof SchedulerEvent.CallerGone gone) {
      recordEnd(gone.key(), CALLER_GONE, event);
    } else if (event instanceof SchedulerEvent.Refused refused) {
      ActiveRequest request = activeRequests.get(refused.key());
      if (request != null) {
        addStep(request.item, "refused", String.valueOf(request.upstream), event.atNanos());
        setUpstream(request, null);
      }
    }
  }

  private void recordAction(SchedulerAction action, long atNanos) {
    if (action instanceof SchedulerAction.Dispatch dispatch) {
      ActiveRequest request = activeRequests.get(dispatch.item().key());
      if (request != null) {
        addStep(request.item, "dispatched", dispatch.upstream().name(), atNanos);
        setUpstream(request, dispatch.upstream().name());
      }
    } else if (action instanceof SchedulerAction.Reject reject) {
      recordEnd(reject.item().key(), "not-run", reject.reason().label(), atNanos);
    } else if (action instanceof SchedulerAction.HandOver handOver) {
      recordEnd(handOver.item().key(), HANDED_OVER, handOver.node(), atNanos);
    }
  }

  private void recordSubmission(WorkItem item) {
    ActiveRequest request = new ActiveRequest(item);
    activeRequests.put(item.key(), request);
    adjustCounts(item, 0, 1);
    tracedItems.add(item);
    tracesByKey.put(
        item.key(),
        new RequestTrace(
            item.key(), item.kind().name(), item.tier().label(), item.team(), ImmutableList.of()));
    latestKeyByContent.put(contentKey(item.shop(), item.contentDigest()), item.key());
    addStep(item, "submitted", "", item.arrivalNanos());
    while (tracedItems.size() > MAX_TRACES) {
      WorkItem oldest = tracedItems.remove();
      tracesByKey.remove(oldest.key());
      latestKeyByContent.remove(contentKey(oldest.shop(), oldest.contentDigest()), oldest.key());
    }
  }

  private void recordTokens(SchedulerEvent.TokensProduced event) {
    ActiveRequest request = activeRequests.get(event.key());
    if (request == null) {
      return;
    }
    Tier tier = request.item.tier();
    if (request.lastTokenNanos == 0) {
      metrics.recordFirstToken(
          tier, Duration.ofNanos(event.atNanos() - request.item.arrivalNanos()));
      addStep(request.item, "first-token", "", event.atNanos());
    } else {
      metrics.recordTokenGap(tier, Duration.ofNanos(event.atNanos() - request.lastTokenNanos));
    }
    request.lastTokenNanos = event.atNanos();
  }

  private void recordEnd(long key, String outcome, SchedulerEvent event) {
    recordEnd(key, outcome, "", event.atNanos());
  }

  private void recordEnd(long key, String outcome, String detail, long atNanos) {
    ActiveRequest request = activeRequests.remove(key);
    if (request == null) {
      return;
    }
    metrics.countEnded(request.item.kind(), outcome);
    if (!outcome.equals(CALLER_GONE) && !outcome.equals(HANDED_OVER)) {
      poolHealth.recordEnd(request.item, outcome.equals(ANSWERED), atNanos);
    }
    addStep(request.item, outcome, detail, atNanos);
    if (request.upstream == null) {
      adjustCounts(request.item, 0, -1);
    } else {
      adjustCounts(request.item, 1, -1);
      poolHealth.adjustRunning(request.item, -1);
      upstreamCounts.computeIfPresent(request.upstream, (name, n) -> n == 1 ? null : n - 1);
    }
  }

  /**
   * Changes the upstream of a request.
   *
   * @param upstream the name of the upstream; null if the request returns to the queue
   */
  private void setUpstream(ActiveRequest request, String upstream) {
    adjustCounts(request.item, request.upstream == null ? 0 : 1, -1);
    adjustCounts(request.item, upstream == null ? 0 : 1, 1);
    if (request.upstream != null) {
      poolHealth.adjustRunning(request.item, -1);
      upstreamCounts.computeIfPresent(request.upstream, (name, n) -> n == 1 ? null : n - 1);
    }
    if (upstream != null) {
      poolHealth.adjustRunning(request.item, 1);
      upstreamCounts.merge(upstream, 1, Integer::sum);
    }
    request.upstream = upstream;
  }

  /**
   * Adjusts the counts of the tier and the team of a request.
   *
   * @param column 0 for queued, 1 for running requests
   * @param change the number to add
   */
  private void adjustCounts(WorkItem item, int column, int change) {
    countsChanged = true;
    tierCounts.get(item.tier())[column] += change;
    int[] counts = teamCounts.computeIfAbsent(item.team(), team -> new int[2]);
    counts[column] += change;
    if (counts[0] == 0 && counts[1] == 0) {
      teamCounts.remove(item.team());
      publishedTeamCounts.remove(item.team());
    } else {
      publishedTeamCounts.put(item.team(), new LoadSnapshot.Counts(counts[0], counts[1]));
    }
  }

  private void publishTiers() {
    Function<Tier, LoadSnapshot.Counts> counts =
        tier -> new LoadSnapshot.Counts(tierCounts.get(tier)[0], tierCounts.get(tier)[1]);
    publishedTierCounts.set(
        tierCounts.keySet().stream().collect(ImmutableMap.toImmutableMap(t -> t, counts)));
    tierCounts.forEach((tier, values) -> metrics.setLoad(tier, values[0], values[1]));
  }

  private void addStep(WorkItem item, String action, String detail, long atNanos) {
    long millis = (atNanos - item.arrivalNanos()) / NANOS_PER_MILLI;
    tracesByKey.computeIfPresent(
        item.key(), (key, trace) -> trace.withStep(new RequestTrace.Step(millis, action, detail)));
  }

  private static String contentKey(String shop, String contentDigest) {
    return shop + "\n" + contentDigest;
  }
}

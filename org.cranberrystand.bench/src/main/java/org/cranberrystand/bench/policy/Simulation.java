package org.cranberrystand.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.SchedulerAction;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.util.ManualClock;

/** Discrete-event loop around one dispatch policy and its simulated upstreams. */
final class Simulation {
  private static final long NETWORK_NANOS = Duration.ofMillis(1).toNanos();

  /** Spreads the requests of other nodes over the second by which their views differ. */
  private static final long GHOST_DELAY_NANOS = Duration.ofMillis(125).toNanos();

  private record Scheduled(long atNanos, long order, Runnable task)
      implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final ManualClock clock = new ManualClock(0);
  private final PriorityQueue<Scheduled> agenda = new PriorityQueue<>();
  private final Map<String, SimUpstream> upstreams = new LinkedHashMap<>();
  private final Map<Long, SimRequest> requests = new HashMap<>();
  private final Set<Long> computedBlocks = new HashSet<>();
  private final List<Long> violationNanos = new ArrayList<>();
  private final Histogram tokenGaps = new Histogram(3);
  private final QueueCounts queued = new QueueCounts();
  private DispatchPolicy policy;
  private long nextOrder;
  private long recomputedTokens;
  private int ghostsPerDispatch;

  ManualClock clock() {
    return clock;
  }

  long nowNanos() {
    return clock.nowNanos();
  }

  void policy(DispatchPolicy value) {
    policy = value;
  }

  void addUpstream(SimUpstream upstream) {
    upstreams.put(upstream.record().name(), upstream);
  }

  List<SimUpstream> upstreams() {
    return List.copyOf(upstreams.values());
  }

  SimUpstream upstream(String name) {
    return upstreams.get(name);
  }

  SimRequest request(long key) {
    return requests.get(key);
  }

  QueueCounts queued() {
    return queued;
  }

  Histogram tokenGaps() {
    return tokenGaps;
  }

  /** Returns the prompt tokens computed although some engine had computed them before. */
  long recomputedTokens() {
    return recomputedTokens;
  }

  /** Returns when urgent work was shed while less urgent work of its pool stayed queued. */
  List<Long> violationNanos() {
    return violationNanos;
  }

  /** Sets how many requests of other nodes accompany each dispatch. */
  void ghostsPerDispatch(int value) {
    ghostsPerDispatch = value;
  }

  void at(long atNanos, Runnable task) {
    agenda.add(new Scheduled(Math.max(atNanos, nowNanos()), nextOrder++, task));
  }

  void after(long delayNanos, Runnable task) {
    at(nowNanos() + delayNanos, task);
  }

  /** Runs all tasks up to a time. */
  void runUntil(long endNanos) {
    while (!agenda.isEmpty() && agenda.peek().atNanos() <= endNanos) {
      Scheduled next = agenda.remove();
      clock.advance(Duration.ofNanos(next.atNanos() - nowNanos()));
      next.task().run();
    }
  }

  void submit(SimRequest request) {
    requests.put(request.item.key(), request);
    queued.add(request);
    feed(new SchedulerEvent.Submitted(request.item, nowNanos()));
  }

  void feed(SchedulerEvent event) {
    List<SchedulerAction> actions = policy.handle(event);
    if (actions.isEmpty()) {
      return;
    }
    List<SimRequest> shed = new ArrayList<>();
    for (SchedulerAction action : actions) {
      carryOut(action, shed);
    }
    for (SimRequest request : shed) {
      if (queued.holdsLessUrgentThan(request)) {
        violationNanos.add(nowNanos());
      }
    }
  }

  private void carryOut(SchedulerAction action, List<SimRequest> shed) {
    if (action instanceof SchedulerAction.Dispatch dispatch) {
      dispatch(requests.get(dispatch.item().key()), dispatch.upstream().name());
    } else if (action instanceof SchedulerAction.Reject reject) {
      SimRequest request = requests.get(reject.item().key());
      queued.remove(request);
      request.rejectNanos = nowNanos();
      request.rejectReason = reject.reason();
      shed.add(request);
    } else if (action instanceof SchedulerAction.HandOver handOver) {
      SimRequest request = requests.get(handOver.item().key());
      queued.remove(request);
      request.handedOver = true;
    } else if (action instanceof SchedulerAction.Cancel cancel) {
      cancel(requests.get(cancel.key()));
    }
  }

  private void dispatch(SimRequest request, String upstreamName) {
    if (!request.isQueued()) {
      throw new IllegalStateException("dispatched twice or after rejection: " + request.item.key());
    }
    SimUpstream target = upstreams.get(upstreamName);
    queued.remove(request);
    request.dispatchNanos = nowNanos();
    request.upstream = upstreamName;
    after(
        NETWORK_NANOS,
        () -> {
          target.accept(request);
          feed(new SchedulerEvent.Started(request.item.key(), nowNanos()));
        });
    for (int i = 0; i < ghostsPerDispatch; i++) {
      SimRequest ghost = request.copyAsGhost();
      after((i + 1) * GHOST_DELAY_NANOS, () -> target.accept(ghost));
    }
  }

  private void cancel(SimRequest request) {
    if (request.finishNanos < 0 && request.dispatchNanos >= 0) {
      request.cancelled = true;
      request.finishNanos = nowNanos();
      upstreams.get(request.upstream).cancel(request);
      after(0, () -> feed(new SchedulerEvent.Finished(request.item.key(), false, nowNanos())));
    }
  }

  /** Counts the blocks of a prompt that some engine had computed before. */
  void prefillComputed(SimRequest request) {
    var blocks = request.item.prefixBlocks();
    for (int i = request.cachedTokens / EngineModel.BLOCK_TOKENS; i < blocks.length(); i++) {
      if (!computedBlocks.add(blocks.get(i)) && !request.ghost) {
        recomputedTokens += EngineModel.BLOCK_TOKENS;
      }
    }
  }

  void tokenProduced(SimRequest request) {
    if (request.ghost) {
      return;
    }
    if (request.firstTokenNanos < 0) {
      request.firstTokenNanos = nowNanos();
    } else {
      tokenGaps.recordValue((nowNanos() - request.lastTokenNanos) / 1_000);
    }
    request.lastTokenNanos = nowNanos();
    feed(new SchedulerEvent.TokensProduced(request.item.key(), 1, nowNanos()));
  }

  void finished(SimRequest request) {
    if (!request.ghost && !request.cancelled) {
      request.finishNanos = nowNanos();
      feed(new SchedulerEvent.Finished(request.item.key(), true, nowNanos()));
    }
  }
}

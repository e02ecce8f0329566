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

/** Discrete-event simulation of one dispatch policy and its upstreams. */
final class Simulation {
  private static final long NETWORK_DELAY_NANOS = Duration.ofMillis(1).toNanos();

  /** Spreads the requests of seven peers over the 1 s by which load reports are delayed. */
  private static final long PEER_COPY_INTERVAL_NANOS = Duration.ofMillis(125).toNanos();

  private record ScheduledTask(long atNanos, long sequence, Runnable task)
      implements Comparable<ScheduledTask> {
    @Override
    public int compareTo(ScheduledTask other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final ManualClock clock = new ManualClock(0);
  private final PriorityQueue<ScheduledTask> taskQueue = new PriorityQueue<>();
  private final Map<String, SimUpstream> upstreams = new LinkedHashMap<>();
  private final Map<Long, SimRequest> requests = new HashMap<>();
  private final Set<Long> computedBlocks = new HashSet<>();
  private final List<Long> priorityInversionNanos = new ArrayList<>();
  private final Histogram tokenGapsMicros = new Histogram(3);
  private final QueueCounts queueCounts = new QueueCounts();
  private DispatchPolicy policy;
  private long nextSequence;
  private long recomputedTokens;
  private int peerCopiesPerDispatch;

  ManualClock clock() {
    return clock;
  }

  long nowNanos() {
    return clock.nowNanos();
  }

  void setPolicy(DispatchPolicy value) {
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

  QueueCounts queueCounts() {
    return queueCounts;
  }

  Histogram tokenGapsMicros() {
    return tokenGapsMicros;
  }

  /** Returns the number of prompt tokens computed again after any engine had computed them. */
  long recomputedTokens() {
    return recomputedTokens;
  }

  /** Returns when urgent requests were rejected while less urgent ones of the pool were queued. */
  List<Long> priorityInversionNanos() {
    return priorityInversionNanos;
  }

  /** Sets the number of peers that send a copy of each dispatched request. */
  void setPeerCopiesPerDispatch(int value) {
    peerCopiesPerDispatch = value;
  }

  void scheduleAt(long atNanos, Runnable task) {
    taskQueue.add(new ScheduledTask(Math.max(atNanos, nowNanos()), nextSequence++, task));
  }

  void scheduleAfter(long delayNanos, Runnable task) {
    scheduleAt(nowNanos() + delayNanos, task);
  }

  /** Runs all tasks that are due at the given time or earlier. */
  void runUntil(long endNanos) {
    while (!taskQueue.isEmpty() && taskQueue.peek().atNanos() <= endNanos) {
      ScheduledTask next = taskQueue.remove();
      clock.advance(Duration.ofNanos(next.atNanos() - nowNanos()));
      next.task().run();
    }
  }

  void submit(SimRequest request) {
    requests.put(request.item.key(), request);
    queueCounts.add(request);
    handleEvent(new SchedulerEvent.Submitted(request.item, nowNanos()));
  }

  void handleEvent(SchedulerEvent event) {
    List<SchedulerAction> actions = policy.handle(event);
    if (actions.isEmpty()) {
      return;
    }
    List<SimRequest> rejected = new ArrayList<>();
    for (SchedulerAction action : actions) {
      execute(action, rejected);
    }
    for (SimRequest request : rejected) {
      if (queueCounts.hasLessUrgentThan(request)) {
        priorityInversionNanos.add(nowNanos());
      }
    }
  }

  private void execute(SchedulerAction action, List<SimRequest> rejected) {
    if (action instanceof SchedulerAction.Dispatch dispatch) {
      dispatch(requests.get(dispatch.item().key()), dispatch.upstream().name());
    } else if (action instanceof SchedulerAction.Reject reject) {
      SimRequest request = requests.get(reject.item().key());
      queueCounts.remove(request);
      request.rejectNanos = nowNanos();
      request.rejectReason = reject.reason();
      rejected.add(request);
    } else if (action instanceof SchedulerAction.HandOver handOver) {
      SimRequest request = requests.get(handOver.item().key());
      queueCounts.remove(request);
      request.handedOver = true;
    } else if (action instanceof SchedulerAction.Cancel cancel) {
      cancel(requests.get(cancel.key()));
    }
  }

  private void dispatch(SimRequest request, String upstreamName) {
    if (!request.isQueued()) {
      throw new IllegalStateException(
          "request " + request.item.key() + " is not queued but was dispatched to " + upstreamName);
    }
    SimUpstream target = upstreams.get(upstreamName);
    queueCounts.remove(request);
    request.dispatchNanos = nowNanos();
    request.upstreamName = upstreamName;
    scheduleAfter(
        NETWORK_DELAY_NANOS,
        () -> {
          target.accept(request);
          handleEvent(new SchedulerEvent.Started(request.item.key(), nowNanos()));
        });
    for (int i = 0; i < peerCopiesPerDispatch; i++) {
      SimRequest peerCopy = request.copyForPeer();
      scheduleAfter((i + 1) * PEER_COPY_INTERVAL_NANOS, () -> target.accept(peerCopy));
    }
  }

  private void cancel(SimRequest request) {
    if (request.finishNanos < 0 && request.dispatchNanos >= 0) {
      request.cancelled = true;
      request.finishNanos = nowNanos();
      upstreams.get(request.upstreamName).cancel(request);
      scheduleAfter(
          0, () -> handleEvent(new SchedulerEvent.Finished(request.item.key(), false, nowNanos())));
    }
  }

  /** Adds the blocks of a computed prompt that any engine had computed before. */
  void recordPrefill(SimRequest request) {
    var blocks = request.item.prefixBlocks();
    for (int i = request.cachedTokens / EngineModel.BLOCK_TOKENS; i < blocks.length(); i++) {
      if (!computedBlocks.add(blocks.get(i)) && !request.fromPeer) {
        recomputedTokens += EngineModel.BLOCK_TOKENS;
      }
    }
  }

  void recordToken(SimRequest request) {
    if (request.fromPeer) {
      return;
    }
    if (request.firstTokenNanos < 0) {
      request.firstTokenNanos = nowNanos();
    } else {
      tokenGapsMicros.recordValue((nowNanos() - request.lastTokenNanos) / 1_000);
    }
    request.lastTokenNanos = nowNanos();
    handleEvent(new SchedulerEvent.TokensProduced(request.item.key(), 1, nowNanos()));
  }

  void recordFinish(SimRequest request) {
    if (!request.fromPeer && !request.cancelled) {
      request.finishNanos = nowNanos();
      handleEvent(new SchedulerEvent.Finished(request.item.key(), true, nowNanos()));
    }
  }
}

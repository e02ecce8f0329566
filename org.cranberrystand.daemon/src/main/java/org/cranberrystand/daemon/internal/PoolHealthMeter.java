package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.schedule.WorkItem;

/**
 * Measures how well each pool is served, for decisions about rollouts of models.
 *
 * <p>Written by one thread at a time; read by any.
 */
final class PoolHealthMeter {
  /** Time after which an ended request counts half. */
  private static final double HALF_LIFE_NANOS = 5e9;

  private record Ended(double good, double all, long atNanos) {
    Ended with(boolean isGood, long nowNanos) {
      double decay = Math.pow(0.5, Math.max(0, nowNanos - atNanos) / HALF_LIFE_NANOS);
      return new Ended(good * decay + (isGood ? 1 : 0), all * decay + 1, nowNanos);
    }
  }

  private final Map<String, Ended> endedByPool = new ConcurrentHashMap<>();
  private final Map<String, Integer> urgentRunningByPool = new ConcurrentHashMap<>();

  /** Notes that a request started or stopped running at an upstream. */
  void runningChanged(WorkItem item, int change) {
    if (item.tier() == Tier.URGENT) {
      urgentRunningByPool.merge(item.kind().pool(), change, Integer::sum);
    }
  }

  /** Notes the end of a request that its caller waited for. */
  void ended(WorkItem item, boolean answered, long atNanos) {
    endedByPool.merge(
        item.kind().pool(),
        new Ended(answered ? 1 : 0, 1, atNanos),
        (old, first) -> old.with(answered, atNanos));
  }

  /** Returns the part of each pool's recent requests that were answered. */
  ImmutableMap<String, Double> goodputByPool() {
    return endedByPool.entrySet().stream()
        .collect(
            ImmutableMap.toImmutableMap(
                Map.Entry::getKey, e -> e.getValue().good() / e.getValue().all()));
  }

  /** Returns the urgent requests that run in each pool. */
  ImmutableMap<String, Integer> urgentRunningByPool() {
    return ImmutableMap.copyOf(urgentRunningByPool);
  }
}

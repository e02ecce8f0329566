package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.schedule.WorkItem;

/**
 * Measures the goodput and the urgent load of each pool for the planning of model rollouts.
 *
 * <p>Must be updated by one thread at a time; may be read by any thread.
 */
final class PoolHealthMeter {
  /** Time after which the weight of an ended request is halved. */
  private static final double HALF_LIFE_NANOS = 5e9;

  /** Decaying counts of ended requests. */
  private record EndedCounts(double answered, double total, long atNanos) {
    EndedCounts add(boolean isAnswered, long nowNanos) {
      double decay = Math.pow(0.5, Math.max(0, nowNanos - atNanos) / HALF_LIFE_NANOS);
      return new EndedCounts(answered * decay + (isAnswered ? 1 : 0), total * decay + 1, nowNanos);
    }
  }

  private final Map<String, EndedCounts> endedCountsByPool = new ConcurrentHashMap<>();
  private final Map<String, Integer> urgentRunningByPool = new ConcurrentHashMap<>();

  /**
   * Adjusts the number of running requests.
   *
   * @param change 1 when the request starts to run at an upstream, -1 when it stops
   */
  void adjustRunning(WorkItem item, int change) {
    if (item.tier() == Tier.URGENT) {
      urgentRunningByPool.merge(item.kind().pool(), change, Integer::sum);
    }
  }

  /** Records the end of a request whose caller stayed connected. */
  void recordEnd(WorkItem item, boolean answered, long atNanos) {
    endedCountsByPool.merge(
        item.kind().pool(),
        new EndedCounts(answered ? 1 : 0, 1, atNanos),
        (old, first) -> old.add(answered, atNanos));
  }

  /** Returns the fraction of recent requests that were answered, by pool. */
  ImmutableMap<String, Double> goodputByPool() {
    return endedCountsByPool.entrySet().stream()
        .collect(
            ImmutableMap.toImmutableMap(
                Map.Entry::getKey, e -> e.getValue().answered() / e.getValue().total()));
  }

  /** Returns the number of running urgent requests by pool. */
  ImmutableMap<String, Integer> urgentRunningByPool() {
    return ImmutableMap.copyOf(urgentRunningByPool);
  }
}

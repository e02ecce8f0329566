package org.cranberrystand.schedule;

import java.util.EnumMap;
import java.util.Map;
import org.cranberrystand.bundle.Tier;

/**
 * How fast the queue of each tier drains, measured only while there is a queue.
 *
 * <p>Not thread-safe.
 */
final class DrainRates {
  private static final long INTERVAL_NANOS = 500_000_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double WEIGHT = 0.3;

  /** A rate from an earlier overload says nothing about the next one. */
  private static final long LIFETIME_NANOS = 5_000_000_000L;

  private static final class Rate {
    private double dispatched;
    private double tokensPerSecond;
    private long measuredNanos;
    private boolean known;
    private boolean queuedThroughout;
  }

  private final Map<Tier, Rate> rates = new EnumMap<>(Tier.class);
  private long startNanos;

  DrainRates(long nowNanos) {
    startNanos = nowNanos;
    for (Tier tier : Tier.values()) {
      rates.put(tier, new Rate());
    }
  }

  void dispatched(Tier tier, double cost, boolean stillQueued) {
    Rate rate = rates.get(tier);
    rate.dispatched += cost;
    rate.queuedThroughout &= stillQueued;
  }

  /** Ends a measuring interval when it is over. */
  void update(Map<Tier, FairQueue> queues, long nowNanos) {
    long elapsed = nowNanos - startNanos;
    if (elapsed < INTERVAL_NANOS) {
      return;
    }
    startNanos = nowNanos;
    rates.forEach(
        (tier, rate) -> {
          boolean queued = !queues.get(tier).isEmpty();
          if (queued && rate.queuedThroughout) {
            double sample = rate.dispatched / elapsed * NANOS_PER_SECOND;
            rate.tokensPerSecond += (rate.known ? WEIGHT : 1) * (sample - rate.tokensPerSecond);
            rate.known = true;
            rate.measuredNanos = nowNanos;
          } else if (nowNanos - rate.measuredNanos > LIFETIME_NANOS) {
            rate.known = false;
          }
          rate.dispatched = 0;
          rate.queuedThroughout = queued;
        });
  }

  /** Returns how long an amount of work of a tier waits, or 0 when nothing was measured lately. */
  double waitNanos(Tier tier, double costAhead) {
    Rate rate = rates.get(tier);
    return rate.known ? costAhead / Math.max(1, rate.tokensPerSecond) * NANOS_PER_SECOND : 0;
  }
}

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

  /** A queue of long work may move only every few seconds, so an interval spans some dispatches. */
  private static final int MIN_DISPATCHES = 4;

  private static final long MAX_INTERVAL_NANOS = 10_000_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double WEIGHT = 0.3;

  /** A rate from an earlier overload says nothing about the next one. */
  private static final long LIFETIME_NANOS = 5_000_000_000L;

  private static final class Rate {
    private double dispatched;
    private double tokensPerSecond;
    private long measuredNanos;
    private long startNanos;
    private int dispatches;
    private boolean known;
    private boolean queuedThroughout;
  }

  private final Map<Tier, Rate> rates = new EnumMap<>(Tier.class);

  DrainRates(long nowNanos) {
    for (Tier tier : Tier.values()) {
      Rate rate = new Rate();
      rate.startNanos = nowNanos;
      rates.put(tier, rate);
    }
  }

  void dispatched(Tier tier, double cost, boolean stillQueued) {
    Rate rate = rates.get(tier);
    rate.dispatched += cost;
    rate.dispatches++;
    rate.queuedThroughout &= stillQueued;
  }

  /** Ends the measuring intervals that are over. */
  void update(Map<Tier, FairQueue> queues, long nowNanos) {
    rates.forEach((tier, rate) -> update(rate, !queues.get(tier).isEmpty(), nowNanos));
  }

  private static void update(Rate rate, boolean queued, long nowNanos) {
    long elapsed = nowNanos - rate.startNanos;
    boolean complete = rate.dispatches >= MIN_DISPATCHES || elapsed >= MAX_INTERVAL_NANOS;
    boolean measuring = queued && rate.queuedThroughout;
    if (elapsed < INTERVAL_NANOS || (measuring && !complete)) {
      return;
    }
    if (measuring) {
      double sample = rate.dispatched / elapsed * NANOS_PER_SECOND;
      rate.tokensPerSecond += (rate.known ? WEIGHT : 1) * (sample - rate.tokensPerSecond);
      rate.known = true;
      rate.measuredNanos = nowNanos;
    } else if (nowNanos - rate.measuredNanos > LIFETIME_NANOS) {
      rate.known = false;
    }
    rate.startNanos = nowNanos;
    rate.dispatched = 0;
    rate.dispatches = 0;
    rate.queuedThroughout = queued;
  }

  /**
   * Returns how long an amount of work of a tier waits.
   *
   * @param assumedRate the rate in tokens per second when nothing was measured lately
   */
  double waitNanos(Tier tier, double costAhead, double assumedRate) {
    Rate rate = rates.get(tier);
    double tokensPerSecond = rate.known ? rate.tokensPerSecond : assumedRate;
    return costAhead / Math.max(1, tokensPerSecond) * NANOS_PER_SECOND;
  }
}

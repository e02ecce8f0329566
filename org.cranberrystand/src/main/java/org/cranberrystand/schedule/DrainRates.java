package org.cranberrystand.schedule;

import java.util.EnumMap;
import java.util.Map;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.fairness.FairQueue;

/**
 * Estimates how fast the queue of each tier drains, in tokens per second.
 *
 * <p>A rate is sampled only over intervals during which the queue never became empty, since
 * otherwise the arrivals limit the dispatches. Not thread-safe.
 */
final class DrainRates {
  private static final long MIN_INTERVAL_NANOS = 500_000_000;

  /**
   * An interval covers several dispatches, since long requests may leave only every few seconds.
   */
  private static final int MIN_DISPATCHES = 4;

  private static final long MAX_INTERVAL_NANOS = 10_000_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double SMOOTHING_FACTOR = 0.3;

  /** Older rates come from an earlier overload and do not predict the next one. */
  private static final long RATE_LIFETIME_NANOS = 5_000_000_000L;

  private static final class Rate {
    private double dispatchedTokens;
    private double tokensPerSecond;
    private long updatedNanos;
    private long intervalStartNanos;
    private int dispatchCount;
    private boolean hasEstimate;
    private boolean backloggedThroughout;
  }

  private final Map<Tier, Rate> rates = new EnumMap<>(Tier.class);

  DrainRates(long nowNanos) {
    for (Tier tier : Tier.values()) {
      Rate rate = new Rate();
      rate.intervalStartNanos = nowNanos;
      rates.put(tier, rate);
    }
  }

  void recordDispatch(Tier tier, double costTokens, boolean backlogged) {
    Rate rate = rates.get(tier);
    rate.dispatchedTokens += costTokens;
    rate.dispatchCount++;
    rate.backloggedThroughout &= backlogged;
  }

  /** Takes a sample from each sampling interval that has ended and starts the next one. */
  void update(Map<Tier, FairQueue<QueuedItem>> queues, long nowNanos) {
    rates.forEach((tier, rate) -> update(rate, !queues.get(tier).isEmpty(), nowNanos));
  }

  private static void update(Rate rate, boolean backlogged, long nowNanos) {
    long elapsedNanos = nowNanos - rate.intervalStartNanos;
    boolean complete = rate.dispatchCount >= MIN_DISPATCHES || elapsedNanos >= MAX_INTERVAL_NANOS;
    boolean sampling = backlogged && rate.backloggedThroughout;
    if (elapsedNanos < MIN_INTERVAL_NANOS || (sampling && !complete)) {
      return;
    }
    if (sampling) {
      double sampleTokensPerSecond = rate.dispatchedTokens / elapsedNanos * NANOS_PER_SECOND;
      rate.tokensPerSecond +=
          (rate.hasEstimate ? SMOOTHING_FACTOR : 1)
              * (sampleTokensPerSecond - rate.tokensPerSecond);
      rate.hasEstimate = true;
      rate.updatedNanos = nowNanos;
    } else if (nowNanos - rate.updatedNanos > RATE_LIFETIME_NANOS) {
      rate.hasEstimate = false;
    }
    rate.intervalStartNanos = nowNanos;
    rate.dispatchedTokens = 0;
    rate.dispatchCount = 0;
    rate.backloggedThroughout = backlogged;
  }

  /**
   * Estimates how long a tier takes to dispatch an amount of work, in nanoseconds.
   *
   * @param fallbackTokensPerSecond the rate to assume if there is no recent estimate
   */
  double estimateWaitNanos(Tier tier, double tokensAhead, double fallbackTokensPerSecond) {
    Rate rate = rates.get(tier);
    double tokensPerSecond = rate.hasEstimate ? rate.tokensPerSecond : fallbackTokensPerSecond;
    return tokensAhead / Math.max(1, tokensPerSecond) * NANOS_PER_SECOND;
  }
}

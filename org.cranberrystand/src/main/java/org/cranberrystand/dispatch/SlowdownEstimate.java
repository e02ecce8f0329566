package org.cranberrystand.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * How much slower than usual one upstream is now, by what it reported last.
 *
 * <p>The load that this answers is VMs that become slow for about 600 ms at a time. Not
 * thread-safe.
 */
final class SlowdownEstimate {
  /** Half of an episode: a report from before it tells as much as one from after it. */
  static final long HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Smaller slowdowns are noise, by which nodes must not all prefer the same upstream. */
  static final double MIN_SLOWDOWN = 1.15;

  private double reported = 1;
  private long reportedNanos;

  void report(double slowdown, long nowNanos) {
    reported = slowdown;
    reportedNanos = nowNanos;
  }

  /** Returns how many times as long as usual work takes; 1 if nothing is known. */
  double factor(long nowNanos) {
    if (reported < MIN_SLOWDOWN) {
      return 1;
    }
    double halfLives = (double) Math.max(0, nowNanos - reportedNanos) / HALF_LIFE_NANOS;
    double factor = 1 + (reported - 1) * Math.pow(2, -halfLives);
    return factor < MIN_SLOWDOWN ? 1 : factor;
  }
}

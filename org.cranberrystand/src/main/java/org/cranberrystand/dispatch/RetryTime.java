package org.cranberrystand.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * When a refused caller should send its request again.
 *
 * <p>Callers retry once, so an early retry would still meet the burst that caused the refusal, and
 * retries must not arrive together. Stateless.
 */
final class RetryTime {
  private static final double MIN_FRACTION = 0.15;
  private static final double MAX_FRACTION = 0.32;
  private static final long MIN_MILLIS = 150;

  private RetryTime() {}

  /**
   * Returns a random fraction of the remaining time, but not before the pool accepts requests.
   *
   * @param remainingNanos the time until the caller's deadline
   * @param closedNanos the time until an upstream accepts requests; 0 if one does now
   * @param random uniform from 0 to 1
   * @return the time in milliseconds
   */
  static long millis(long remainingNanos, long closedNanos, double random) {
    double fraction = MIN_FRACTION + (MAX_FRACTION - MIN_FRACTION) * random;
    double nanos = Math.max(remainingNanos * fraction, (double) closedNanos);
    return Math.max(MIN_MILLIS, TimeUnit.NANOSECONDS.toMillis((long) nanos));
  }
}

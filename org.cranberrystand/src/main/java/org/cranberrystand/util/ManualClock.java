package org.cranberrystand.util;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clock that is advanced explicitly, for tests and deterministic benchmarks.
 *
 * <p>Thread-safe.
 */
public final class ManualClock implements MonotonicClock {
  private final AtomicLong nowNanos;

  /**
   * Creates a clock.
   *
   * @param startNanos the initial time, in nanoseconds
   */
  public ManualClock(long startNanos) {
    this.nowNanos = new AtomicLong(startNanos);
  }

  @Override
  public long nowNanos() {
    return nowNanos.get();
  }

  /**
   * Advances the clock.
   *
   * @param step the duration to add; must not be negative
   */
  public void advance(Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("step must not be negative but is " + step);
    }
    nowNanos.addAndGet(step.toNanos());
  }
}

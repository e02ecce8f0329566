package org.cranberrystand.util;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clock that advances only when told to, for tests and deterministic benchmarks.
 *
 * <p>Safe for use by several threads.
 */
public final class ManualClock implements MonotonicClock {
  private final AtomicLong nowNanos;

  /**
   * Creates a clock.
   *
   * @param startNanos the first time to report, in nanoseconds
   */
  public ManualClock(long startNanos) {
    this.nowNanos = new AtomicLong(startNanos);
  }

  @Override
  public long nowNanos() {
    return nowNanos.get();
  }

  /**
   * Moves the clock forward.
   *
   * @param step the time to add; must not be negative
   */
  public void advance(Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("step is negative: " + step);
    }
    nowNanos.addAndGet(step.toNanos());
  }
}

package org.cranberrystand.util;

/**
 * Source of monotonic time for decision logic.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {

  /**
   * Returns the elapsed time since an arbitrary origin, in nanoseconds.
   *
   * @return a value that never decreases within one process
   */
  long nowNanos();

  /**
   * Returns the system clock.
   *
   * @return a clock backed by {@link System#nanoTime()}
   */
  static MonotonicClock system() {
    return System::nanoTime;
  }
}

package org.cranberrystand.daemon.gateway;

/**
 * Measures how far the event loop lags. Used only on the event loop, except for its creation.
 *
 * <p>Data may have waited in the socket for as long as the loop was blocked. On a VM that is short
 * of processor time, a request is late by then or its caller has disconnected.
 */
final class LoopLag {
  /** Delays of a tick up to this time are normal and not counted as lag. */
  private static final long NORMAL_DELAY_NANOS = 20_000_000L;

  private final long intervalNanos;
  private long lastTickNanos;

  /** The sockets may not have been read since this tick. */
  private long readTickNanos;

  /**
   * Creates a measurement without lag.
   *
   * @param intervalNanos the interval between ticks, in nanoseconds
   * @param nowNanos the current monotonic time, in nanoseconds
   */
  LoopLag(long intervalNanos, long nowNanos) {
    this.intervalNanos = intervalNanos;
    this.lastTickNanos = nowNanos;
    this.readTickNanos = nowNanos;
  }

  /**
   * Records that the event loop runs; to be called once per interval. A late tick runs before the
   * sockets are read, and before waiting connections are accepted, so the lag lasts until the next
   * one.
   */
  void tick(long nowNanos) {
    readTickNanos = lag(lastTickNanos, nowNanos) > 0 ? lastTickNanos : nowNanos;
    lastTickNanos = nowNanos;
  }

  /**
   * Returns how long data read now may have waited in the socket, in nanoseconds; 0 if the delay is
   * normal.
   */
  long lagNanos(long nowNanos) {
    return lag(readTickNanos, nowNanos);
  }

  private long lag(long tickNanos, long nowNanos) {
    long delayNanos = nowNanos - tickNanos - intervalNanos;
    return delayNanos > NORMAL_DELAY_NANOS ? delayNanos : 0;
  }
}

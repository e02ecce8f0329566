package org.cranberrystand.daemon.gateway;

/**
 * How far the event loop is behind. Used on the event loop only, except for the creation.
 *
 * <p>What the loop reads may have lain in the socket for as long as it did nothing else. On a VM
 * that is starved of processor time a request is by then late, or its caller has left.
 */
final class LoopLag {
  /** A loop that turns as planned is late by less than this. */
  private static final long USUAL_NANOS = 20_000_000L;

  private final long intervalNanos;
  private long tickedNanos;

  /**
   * Creates a measure.
   *
   * @param intervalNanos the planned time between two ticks
   * @param nowNanos the time
   */
  LoopLag(long intervalNanos, long nowNanos) {
    this.intervalNanos = intervalNanos;
    this.tickedNanos = nowNanos;
  }

  /** Notes that the loop turns; to be called at the planned interval. */
  void tick(long nowNanos) {
    tickedNanos = nowNanos;
  }

  /** Returns how long what is read now may have waited, in nanoseconds; 0 for a usual delay. */
  long nanos(long nowNanos) {
    long late = nowNanos - tickedNanos - intervalNanos;
    return late > USUAL_NANOS ? late : 0;
  }
}

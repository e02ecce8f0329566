package org.cranberrystand.dispatch;

import java.util.Collection;

/** The part of the slots of a pool that was in use recently, by all nodes. Not thread-safe. */
final class PoolOccupancy {
  /** Longer than the time that a slot is usually taken, so that the average is steady. */
  private static final double AVERAGE_SECONDS = 2;

  /** Keeps estimates of the capacity finite while the pool is idle. */
  private static final double MIN_FRACTION = 0.1;

  private double fraction = MIN_FRACTION;
  private long updatedNanos;

  /** Takes the present usage into the average; to be called at short intervals. */
  void update(Collection<UpstreamState> upstreams, long nowNanos) {
    int slots = 0;
    int running = 0;
    for (UpstreamState state : upstreams) {
      slots += state.upstream().slots();
      running += state.totalRunning();
    }
    double seconds = Math.min(1, Math.max(0, (nowNanos - updatedNanos) / 1e9));
    updatedNanos = nowNanos;
    double used = slots == 0 ? 1 : Math.min(1, Math.max(MIN_FRACTION, (double) running / slots));
    fraction += (used - fraction) * Math.min(1, seconds / AVERAGE_SECONDS);
  }

  /** Returns the fraction, above 0. */
  double fraction() {
    return fraction;
  }
}

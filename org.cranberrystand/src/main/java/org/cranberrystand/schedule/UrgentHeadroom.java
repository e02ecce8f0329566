package org.cranberrystand.schedule;

/**
 * Slots that lower tiers leave free for urgent work, from its recent peak.
 *
 * <p>Running work is never preempted, so without free slots urgent work waits for long work to end.
 * Not thread-safe.
 */
final class UrgentHeadroom {
  private static final double MIN_FRACTION = 0.1;
  private static final double MAX_FRACTION = 0.8;
  private static final double MARGIN = 1.2;
  private static final double PEAK_TIME_CONSTANT_SECONDS = 10;
  private static final long DEMAND_LIFETIME_NANOS = 60_000_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;

  private double peak;
  private long updatedNanos;
  private long lastArrivalNanos;
  private boolean arrived;

  void arrived(long nowNanos) {
    arrived = true;
    lastArrivalNanos = nowNanos;
  }

  void update(int runningUrgent, int queuedUrgent, long nowNanos) {
    double seconds = Math.max(0, (nowNanos - updatedNanos) / NANOS_PER_SECOND);
    updatedNanos = nowNanos;
    peak *= Math.exp(-seconds / PEAK_TIME_CONSTANT_SECONDS);
    peak = Math.max(peak, runningUrgent + queuedUrgent);
  }

  /** Returns the slots to leave free, given all slots of this node. */
  double slots(int total, int runningUrgent, long nowNanos) {
    if (!arrived || nowNanos - lastArrivalNanos > DEMAND_LIFETIME_NANOS) {
      return 0;
    }
    double wanted = Math.max(MIN_FRACTION * total, peak * MARGIN - runningUrgent);
    return Math.min(MAX_FRACTION * total, wanted);
  }
}

package org.cranberrystand.schedule;

/**
 * Computes how many slots less urgent tiers leave free for urgent work, from its recent peak.
 *
 * <p>Running requests are not preempted, so without free slots urgent requests would wait for long
 * ones to end. Not thread-safe.
 */
final class UrgentHeadroom {
  private static final double MIN_FRACTION = 0.1;
  private static final double MAX_FRACTION = 0.8;
  private static final double PEAK_MARGIN_FACTOR = 1.2;
  private static final double PEAK_TIME_CONSTANT_SECONDS = 10;
  private static final long DEMAND_LIFETIME_NANOS = 60_000_000_000L;
  private static final double NANOS_PER_SECOND = 1e9;

  private double peakRequests;
  private long updatedNanos;
  private long lastArrivalNanos;
  private boolean hasArrivals;

  void recordArrival(long nowNanos) {
    hasArrivals = true;
    lastArrivalNanos = nowNanos;
  }

  void recordLoad(int runningUrgent, int queuedUrgent, long nowNanos) {
    double seconds = Math.max(0, (nowNanos - updatedNanos) / NANOS_PER_SECOND);
    updatedNanos = nowNanos;
    peakRequests *= Math.exp(-seconds / PEAK_TIME_CONSTANT_SECONDS);
    peakRequests = Math.max(peakRequests, runningUrgent + queuedUrgent);
  }

  /** Returns the number of slots to leave free out of all free and used slots of this node. */
  double reservedSlots(int totalSlots, int runningUrgent, long nowNanos) {
    if (!hasArrivals || nowNanos - lastArrivalNanos > DEMAND_LIFETIME_NANOS) {
      return 0;
    }
    double wantedSlots =
        Math.max(MIN_FRACTION * totalSlots, peakRequests * PEAK_MARGIN_FACTOR - runningUrgent);
    return Math.min(MAX_FRACTION * totalSlots, wantedSlots);
  }
}

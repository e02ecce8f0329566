package org.cranberrystand.dispatch;

import java.util.Collection;

/**
 * Limits the rate at which this node sends requests of teams above their share to a pool that other
 * nodes use too.
 *
 * <p>Nodes learn late which slots are free. If teams above their share took every slot that seems
 * free, the requests of other teams on other nodes would find none. The rate falls while the fleet
 * uses more slots than a target below the size of the pool, and rises while it uses fewer. All
 * nodes see about the same usage, so their rates change alike. Not thread-safe.
 */
final class ShareControl {
  /**
   * Relative change of the rate per second and per fraction of the slots above or below the target.
   * Twice the value oscillates with reports that are 0.4 s old.
   */
  private static final double GAIN_PER_SECOND = 2;

  /** A long queue at the upstreams must not stop the teams for longer than it takes to drain. */
  private static final double MAX_EXCESS = 0.5;

  /** Fraction of their shares that teams above it get while the pool is full. */
  private static final double MIN_FAIR_FRACTION = 0.7;

  /** The rate may rise to this multiple of what was sent recently. */
  private static final double MAX_RISE = 1.5;

  /** Rate at which this node still sends while the pool is full, in requests per second. */
  private static final double MIN_PER_SECOND = 0.2;

  /** What may be sent at once after a pause, as a time at the current rate; at least 1 request. */
  private static final double BURST_SECONDS = 0.1;

  /** Longer than the time that a slot is usually taken, so that the average is steady. */
  private static final double OCCUPANCY_SECONDS = 2;

  /** Keeps estimates of the capacity finite while the pool is idle. */
  private static final double MIN_OCCUPANCY = 0.1;

  private final SendRate sent = new SendRate();
  private boolean active;
  private double occupancy = MIN_OCCUPANCY;
  private double ratePerSecond = Double.MAX_VALUE;
  private double credit = 1;
  private long updatedNanos;

  /**
   * Adjusts the rate to the usage of the upstreams; to be called at short intervals.
   *
   * @param fairPerSecond the requests per second that the shares of the waiting teams above their
   *     share allow this node
   */
  void update(Collection<UpstreamState> upstreams, double fairPerSecond, long nowNanos) {
    int slots = 0;
    int running = 0;
    boolean shared = false;
    for (UpstreamState state : upstreams) {
      slots += state.upstream().slots();
      running += state.totalRunning();
      shared |= state.isUsedByOthers();
    }
    double seconds = Math.min(1, Math.max(0, (nowNanos - updatedNanos) / 1e9));
    updatedNanos = nowNanos;
    double used = slots == 0 ? 1 : Math.min(1, Math.max(MIN_OCCUPANCY, (double) running / slots));
    occupancy += (used - occupancy) * Math.min(1, seconds / OCCUPANCY_SECONDS);
    active = shared && slots > 0;
    if (!active) {
      ratePerSecond = Double.MAX_VALUE;
      return;
    }
    double excess = Math.min(MAX_EXCESS, (running - targetSlots(slots)) / slots);
    double highest = MAX_RISE * sent.perSecond(nowNanos);
    double changed = ratePerSecond * Math.exp(-GAIN_PER_SECOND * excess * seconds);
    ratePerSecond =
        excess > 0 || ratePerSecond < Double.MAX_VALUE
            ? Math.max(
                Math.max(MIN_PER_SECOND, fairPerSecond * MIN_FAIR_FRACTION),
                Math.min(changed, highest))
            : Double.MAX_VALUE;
    credit = Math.min(Math.max(1, ratePerSecond * BURST_SECONDS), credit + ratePerSecond * seconds);
  }

  /** Random arrivals need free slots of about the square root of the slots in use. */
  private static double targetSlots(int slots) {
    return slots - Math.sqrt(slots);
  }

  /** Returns the fraction of the slots of the pool that was in use recently, above 0. */
  double occupancy() {
    return occupancy;
  }

  /** Returns whether a request of a team above its share may be sent now. */
  boolean permits() {
    return !active || credit >= 1;
  }

  /** Records that a request of a team above its share was sent. */
  void sent(long nowNanos) {
    sent.sent(nowNanos);
    credit = Math.max(0, credit - 1);
  }
}

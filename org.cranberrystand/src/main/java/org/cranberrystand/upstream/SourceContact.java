package org.cranberrystand.upstream;

/**
 * Decides whether the source of registrations may have been away for so long that registrations of
 * live upstreams have expired.
 *
 * <p>A live upstream renews its registration once in a heartbeat interval, and the registration
 * expires after three intervals without renewal. So the source must be away for two intervals
 * before it can lose a live upstream. A call that fails does not show how long the source was away;
 * the time between two signs of it bounds that. Not thread-safe.
 */
public final class SourceContact {
  private static final int EXPIRY_INTERVALS = 3;

  /** A live upstream may have renewed its registration up to one interval before the absence. */
  private static final int HARMLESS_INTERVALS = EXPIRY_INTERVALS - 1;

  private final long harmlessNanos;
  private long lastSignNanos;

  /** The first sign after the last absence in which registrations may have expired. */
  private long steadySinceNanos;

  /** The last sign before that absence. */
  private long absentSinceNanos;

  /**
   * Creates a contact that begins now.
   *
   * @param heartbeatNanos the interval in which upstreams renew their registrations, in nanoseconds
   * @param nowNanos the current time of a monotonic clock, in nanoseconds
   */
  public SourceContact(long heartbeatNanos, long nowNanos) {
    this.harmlessNanos = HARMLESS_INTERVALS * heartbeatNanos;
    this.lastSignNanos = nowNanos;
    this.steadySinceNanos = nowNanos;
    this.absentSinceNanos = nowNanos;
  }

  /**
   * Records a sign that the source works now: an answer of it, or a change that another node read
   * from it.
   *
   * @param nowNanos the current time, in nanoseconds
   * @return whether registrations of live upstreams may have expired since the last sign
   */
  public boolean confirmed(long nowNanos) {
    boolean expired = mayHaveExpired(nowNanos);
    if (expired) {
      absentSinceNanos = lastSignNanos;
      steadySinceNanos = nowNanos;
    }
    lastSignNanos = nowNanos;
    return expired;
  }

  /**
   * Records that another node had no absence of the source for some time up to now.
   *
   * @param steadyNanos for how long, in nanoseconds
   * @param nowNanos the current time, in nanoseconds
   * @return whether that covers the latest absence that this node had, so that no registration
   *     expired in it
   */
  public boolean confirmedSteady(long steadyNanos, long nowNanos) {
    boolean inAbsence = mayHaveExpired(nowNanos);
    long startNanos = inAbsence ? lastSignNanos : absentSinceNanos;
    boolean hadAbsence = inAbsence || steadySinceNanos - absentSinceNanos > 0;
    // Registrations may expire for some time after an absence that ended before.
    if (!hadAbsence || nowNanos - steadyNanos + harmlessNanos - startNanos > 0) {
      return false;
    }
    absentSinceNanos = nowNanos;
    steadySinceNanos = nowNanos;
    lastSignNanos = nowNanos;
    return true;
  }

  /**
   * Returns for how long there was no absence in which registrations may have expired.
   *
   * @param nowNanos the current time, in nanoseconds
   * @return the time up to the last sign, in nanoseconds; 0 during such an absence
   */
  public long steadyNanos(long nowNanos) {
    return mayHaveExpired(nowNanos) ? 0 : lastSignNanos - steadySinceNanos;
  }

  /**
   * Returns whether registrations of live upstreams may have expired since the last sign.
   *
   * @param nowNanos the current time, in nanoseconds
   * @return true if the source may have been away for long enough
   */
  public boolean mayHaveExpired(long nowNanos) {
    return silentNanos(nowNanos) >= harmlessNanos;
  }

  /**
   * Returns how long ago the last sign of the source was.
   *
   * @param nowNanos the current time, in nanoseconds
   * @return the time since the last sign, in nanoseconds
   */
  public long silentNanos(long nowNanos) {
    return nowNanos - lastSignNanos;
  }

  /**
   * Returns for how long the source may still be silent before registrations may have expired.
   *
   * @param nowNanos the current time, in nanoseconds
   * @return the remaining time, in nanoseconds; negative if it is over
   */
  public long harmlessNanos(long nowNanos) {
    return harmlessNanos - silentNanos(nowNanos);
  }
}

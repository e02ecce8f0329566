package org.cranberrystand.upstream;

/**
 * The registration of one upstream.
 *
 * @param id the identifier of this incarnation
 * @param pool the pool it belongs to
 * @param address host and port
 * @param failureDomain the failure domain of its VM
 * @param softwareVersion the version of its software; streams cannot go on at another version
 * @param slots the number of requests that it runs concurrently
 * @param startedAtMillis the wall-clock time of its start, which distinguishes two incarnations
 *     with the same identifier; 0 if unknown
 * @param coldRemainingMillis how long after its registration it is still cold, in milliseconds;
 *     {@link #COLD_UNKNOWN} if it does not say
 * @param leaving whether it accepts no new requests
 */
public record RegisteredUpstream(
    String id,
    String pool,
    String address,
    String failureDomain,
    String softwareVersion,
    int slots,
    long startedAtMillis,
    long coldRemainingMillis,
    boolean leaving) {
  /** The registration does not say whether the upstream is cold. */
  public static final long COLD_UNKNOWN = -1;

  /**
   * Returns a key of this incarnation, under which what is known of it is kept.
   *
   * @return the identifier and the time of the start, which distinguishes two incarnations with the
   *     same identifier
   */
  public String incarnationKey() {
    return id + '@' + startedAtMillis;
  }

  /**
   * Returns whether another registration is of the same incarnation of the same upstream.
   *
   * @param other the other registration
   * @return true if observations of one apply to the other
   */
  public boolean isSameIncarnation(RegisteredUpstream other) {
    return id.equals(other.id)
        && address.equals(other.address)
        && startedAtMillis == other.startedAtMillis;
  }
}

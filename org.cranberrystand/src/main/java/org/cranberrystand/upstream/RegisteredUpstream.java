package org.cranberrystand.upstream;

/**
 * One upstream as it registered itself.
 *
 * @param id the identifier of this incarnation
 * @param pool the pool it belongs to
 * @param address host and port
 * @param failureDomain the failure domain of its VM
 * @param slots the requests that it runs at once
 * @param startedAtMillis the wall time of its start, which tells two lives under one identifier
 *     apart; 0 if unknown
 * @param coldMillis how much longer it remained slow when it registered, in milliseconds
 * @param leaving whether it takes no new requests
 */
public record RegisteredUpstream(
    String id,
    String pool,
    String address,
    String failureDomain,
    int slots,
    long startedAtMillis,
    long coldMillis,
    boolean leaving) {

  /**
   * Tells whether another registration describes the same life of the same upstream.
   *
   * @param other the other registration
   * @return true if what was learned of one holds for the other
   */
  public boolean isSameLife(RegisteredUpstream other) {
    return id.equals(other.id)
        && address.equals(other.address)
        && startedAtMillis == other.startedAtMillis;
  }
}

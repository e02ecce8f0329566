package org.cranberrystand.upstream;

/**
 * An entry of the platform's VM list for one upstream.
 *
 * @param name the name of the VM, unique in the fleet
 * @param pool the pool it belongs to
 * @param address host and port
 * @param failureDomain the failure domain of the VM
 * @param leaving whether any source says that the VM is leaving
 */
public record UpstreamRecord(
    String name, String pool, String address, String failureDomain, boolean leaving) {

  /**
   * Returns this record marked as leaving.
   *
   * @return a copy, or this record if it is already marked
   */
  public UpstreamRecord asLeaving() {
    return leaving ? this : new UpstreamRecord(name, pool, address, failureDomain, true);
  }
}

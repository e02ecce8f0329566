package org.cranberrystand.upstream;

/**
 * One upstream as listed by the platform.
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
   * Returns a copy that is marked as leaving.
   *
   * @return this record if it is marked already
   */
  public UpstreamRecord asLeaving() {
    return leaving ? this : new UpstreamRecord(name, pool, address, failureDomain, true);
  }
}

package org.cranberrystand.wire.platform;

/**
 * VM in the VM list of the platform.
 *
 * @param name the name of the VM
 * @param role {@code entry} or {@code upstream}
 * @param pool the pool of an upstream; empty for entry VMs
 * @param address host and port for requests
 * @param peerAddress host and port for calls between nodes; empty for upstreams
 * @param failureDomain the failure domain
 * @param state {@code live} or {@code leaving}
 */
public record VmEntry(
    String name,
    String role,
    String pool,
    String address,
    String peerAddress,
    String failureDomain,
    String state) {
  /** Role of VMs that run a node. */
  public static final String ROLE_ENTRY = "entry";

  /** Role of VMs that serve requests of a pool. */
  public static final String ROLE_UPSTREAM = "upstream";

  /** State of VMs that the platform is about to remove. */
  public static final String STATE_LEAVING = "leaving";

  /** State of VMs in service. */
  public static final String STATE_LIVE = "live";

  /**
   * Creates the entry of an upstream in service.
   *
   * @param name the name of the VM
   * @param pool the pool
   * @param address host and port
   * @param failureDomain the failure domain
   * @return the entry
   */
  public static VmEntry upstream(String name, String pool, String address, String failureDomain) {
    return new VmEntry(name, ROLE_UPSTREAM, pool, address, "", failureDomain, STATE_LIVE);
  }

  /**
   * Returns whether the platform is about to remove the VM.
   *
   * @return true if the state is {@code leaving}
   */
  @com.fasterxml.jackson.annotation.JsonIgnore
  public boolean isLeaving() {
    return STATE_LEAVING.equals(state);
  }
}

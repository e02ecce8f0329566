package org.cranberrystand.membership;

/**
 * Name, addresses and capacity of a node, as exchanged in {@link PeerReport}s.
 *
 * @param node the name of the node
 * @param host the address of its VM
 * @param callerAddress host and port of its listener for callers
 * @param acceptsCallers whether callers may be sent to the node
 * @param cores the processor share of its VM, in cores; callers are distributed in proportion to it
 * @param failureDomain the failure domain of its VM; empty if unknown
 */
public record NodeInfo(
    String node,
    String host,
    String callerAddress,
    boolean acceptsCallers,
    double cores,
    String failureDomain) {

  /**
   * Creates a description of a node whose failure domain is unknown.
   *
   * @param node the name of the node
   * @param host the address of its VM
   * @param callerAddress host and port of its listener for callers
   * @param acceptsCallers whether callers may be sent to the node
   * @param cores the processor share of its VM, in cores
   */
  public NodeInfo(
      String node, String host, String callerAddress, boolean acceptsCallers, double cores) {
    this(node, host, callerAddress, acceptsCallers, cores, "");
  }

  /**
   * Returns a copy that accepts callers or not.
   *
   * @param value whether callers may be sent to the node
   * @return the copy
   */
  public NodeInfo withAcceptsCallers(boolean value) {
    return new NodeInfo(node, host, callerAddress, value, cores, failureDomain);
  }
}

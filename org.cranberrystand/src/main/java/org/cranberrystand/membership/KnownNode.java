package org.cranberrystand.membership;

/**
 * What nodes tell each other of a node, also of others than themselves.
 *
 * @param node its name
 * @param host the address of its VM
 * @param callerAddress where callers connect
 * @param offered whether callers should be sent to it
 * @param cores the processor share of its VM, in cores; its part of the callers goes by it
 */
public record KnownNode(
    String node, String host, String callerAddress, boolean offered, double cores) {

  /**
   * Returns a copy that offers the node to callers or not.
   *
   * @param value whether callers should be sent to it
   * @return the copy
   */
  public KnownNode withOffered(boolean value) {
    return new KnownNode(node, host, callerAddress, value, cores);
  }
}

package org.cranberrystand.daemon.internal;

/** Injects message loss between nodes, for tests and benchmarks. */
@FunctionalInterface
public interface PeerFault {

  /**
   * Returns whether to drop a message; called once for each request and once for its response.
   *
   * @param node the name of the node that calls
   * @param address host and port of the node that is called
   * @return true to drop the message
   */
  boolean drops(String node, String address);

  /**
   * Returns a fault that drops no message.
   *
   * @return the fault
   */
  static PeerFault none() {
    return (node, address) -> false;
  }
}

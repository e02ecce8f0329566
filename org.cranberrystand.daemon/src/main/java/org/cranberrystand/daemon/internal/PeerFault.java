package org.cranberrystand.daemon.internal;

/** Decides which messages between nodes are lost. For tests and benchmarks. */
@FunctionalInterface
public interface PeerFault {

  /**
   * Tells whether a message is lost; asked once for each call and once for its response.
   *
   * @param node the name of the node that calls
   * @param address host and port of the node that is called
   * @return true to lose the message
   */
  boolean drops(String node, String address);

  /**
   * Returns the absence of faults.
   *
   * @return a fault that loses nothing
   */
  static PeerFault none() {
    return (node, address) -> false;
  }
}

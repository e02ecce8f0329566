package org.cranberrystand.daemon;

import org.cranberrystand.daemon.internal.PeerFault;

/**
 * How a node is embedded in its process.
 *
 * @param callerThreads threads of the listener for callers and of outgoing calls
 * @param peerThreads threads of the listener for peers
 * @param peerFault decides which calls between nodes are lost; for tests and benchmarks
 */
public record NodeOptions(int callerThreads, int peerThreads, PeerFault peerFault) {
  private static final int CALLER_THREADS = 4;
  private static final int PEER_THREADS = 2;

  /**
   * Returns the options of a node that has its process to itself.
   *
   * @return the defaults
   */
  public static NodeOptions defaults() {
    return new NodeOptions(CALLER_THREADS, PEER_THREADS, PeerFault.none());
  }

  /**
   * Returns the options of one of many nodes in a process.
   *
   * @param peerFault decides which calls between nodes are lost
   * @return options with one thread per listener
   */
  public static NodeOptions embedded(PeerFault peerFault) {
    return new NodeOptions(1, 1, peerFault);
  }
}

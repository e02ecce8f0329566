package org.cranberrystand.daemon;

import org.cranberrystand.daemon.internal.PeerFault;

/**
 * Options that depend on whether a node shares its process with other nodes.
 *
 * @param callerThreads the number of threads for the caller listener and for outgoing calls
 * @param peerThreads the number of threads for the peer listener
 * @param peerFault selects the calls between nodes that fail; for tests and benchmarks
 */
public record NodeOptions(int callerThreads, int peerThreads, PeerFault peerFault) {
  private static final int DEFAULT_CALLER_THREADS = 4;
  private static final int DEFAULT_PEER_THREADS = 2;

  /**
   * Returns the options of a node that is alone in its process.
   *
   * @return the default options, without faults
   */
  public static NodeOptions defaults() {
    return new NodeOptions(DEFAULT_CALLER_THREADS, DEFAULT_PEER_THREADS, PeerFault.none());
  }

  /**
   * Returns the options of a node that shares its process with many others.
   *
   * @param peerFault selects the calls between nodes that fail
   * @return options with one thread per listener
   */
  public static NodeOptions embedded(PeerFault peerFault) {
    return new NodeOptions(1, 1, peerFault);
  }
}

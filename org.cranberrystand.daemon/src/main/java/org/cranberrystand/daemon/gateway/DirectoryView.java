package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;

/** The state of a gateway that its HTTP endpoints serve. Implementations are thread-safe. */
public interface DirectoryView {

  /**
   * Returns whether the node accepts requests.
   *
   * @return true if the node has a declaration and is not shutting down
   */
  boolean isReady();

  /**
   * Returns the addresses to which callers may connect.
   *
   * @return a random selection of host and port pairs; contains this node only if it is ready
   */
  ImmutableList<String> callerAddresses();

  /**
   * Returns the time to live of the caller addresses.
   *
   * @return the time in seconds
   */
  int addressLifetimeSeconds();
}

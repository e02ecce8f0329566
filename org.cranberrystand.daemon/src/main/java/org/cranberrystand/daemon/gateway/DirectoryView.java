package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;

/**
 * What other threads may read of a gateway. Implementations are safe for use by several threads.
 */
public interface DirectoryView {

  /**
   * Returns whether the node takes requests.
   *
   * @return true if it knows the declaration and does not leave
   */
  boolean isReady();

  /**
   * Returns where callers may connect.
   *
   * @return addresses of the listeners for callers, this node's among them if it is ready
   */
  ImmutableList<String> callerAddresses();

  /**
   * Returns how long callers may keep the addresses.
   *
   * @return the time in seconds
   */
  int addressLifetimeSeconds();
}

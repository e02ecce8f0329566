package org.cranberrystand.wire.http;

import java.util.List;

/**
 * Nodes to which a caller should connect, the response to {@code GET /v1/addresses}.
 *
 * @param addresses the nodes in order of preference
 * @param ttlSeconds how long the caller may cache the list, in seconds
 * @param identifiers request identifiers issued by the responding node
 */
public record AddressList(List<Address> addresses, int ttlSeconds, List<String> identifiers) {

  /**
   * Address of one node.
   *
   * @param address host and port for requests
   * @param failureDomain the failure domain of the node
   * @param node the name of the node
   */
  public record Address(String address, String failureDomain, String node) {}
}

package org.cranberrystand.wire.http;

import java.util.List;

/**
 * Answer to the question which nodes a caller should use.
 *
 * @param addresses the nodes, the preferred one first
 * @param ttlSeconds how long the caller may keep the answer
 * @param identifiers request identifiers issued by the answering node
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

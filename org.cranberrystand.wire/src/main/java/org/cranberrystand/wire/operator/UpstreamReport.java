package org.cranberrystand.wire.operator;

import java.util.List;

/**
 * Upstreams as seen by one node.
 *
 * @param node the name of the responding node
 * @param upstreams the upstreams
 */
public record UpstreamReport(String node, List<Upstream> upstreams) {

  /** Copies the list and replaces null by an empty list. */
  public UpstreamReport {
    upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
  }

  /**
   * One upstream.
   *
   * @param name the name of the VM
   * @param pool the pool
   * @param address host and port
   * @param failureDomain the failure domain
   * @param leaving whether it accepts no new requests
   * @param running the number of requests of the responding node that it runs
   */
  public record Upstream(
      String name,
      String pool,
      String address,
      String failureDomain,
      boolean leaving,
      int running) {}
}

package org.cranberrystand.wire.operator;

import java.util.List;

/**
 * Upstreams as one node sees them.
 *
 * @param node the node that answers
 * @param upstreams the upstreams
 */
public record UpstreamReport(String node, List<Upstream> upstreams) {

  /** Copies the list. */
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
   * @param leaving whether it takes no new work
   * @param running requests of this node that it runs
   */
  public record Upstream(
      String name,
      String pool,
      String address,
      String failureDomain,
      boolean leaving,
      int running) {}
}

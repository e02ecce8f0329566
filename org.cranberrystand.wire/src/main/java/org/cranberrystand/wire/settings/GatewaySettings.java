package org.cranberrystand.wire.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import org.cranberrystand.dispatch.QuotaTolerance;

/**
 * Settings of a gateway: a node that forwards callers' HTTP requests by declared routes.
 *
 * <p>Immutable.
 *
 * @param node the name of the node
 * @param failureDomain the failure domain of the VM
 * @param cores the processor share of the VM, in cores; callers are shared out by it
 * @param startsWithFleet whether no node ran before this start, so that nothing was used yet
 * @param listen the listeners
 * @param seeds listeners for peers of some other nodes
 * @param store the service that publishes the declaration and the upstreams
 * @param limits bounds that hold for all nodes together
 */
public record GatewaySettings(
    String node,
    String failureDomain,
    double cores,
    boolean startsWithFleet,
    Listen listen,
    ImmutableList<HostAndPort> seeds,
    HostAndPort store,
    Limits limits) {

  /**
   * Listeners of a gateway.
   *
   * @param callers for requests of callers
   * @param ready for checks whether the node is ready
   * @param peers for calls of other nodes
   * @param directory for callers that ask where to connect
   * @param reportPort the UDP port for reports between nodes, the same on all VMs; 0 takes any
   * @param metrics for metrics
   */
  public record Listen(
      HostAndPort callers,
      HostAndPort ready,
      HostAndPort peers,
      HostAndPort directory,
      int reportPort,
      HostAndPort metrics) {}

  /**
   * Bounds that the operators set.
   *
   * @param retryRatio repeats per request that are allowed over all nodes
   * @param retrySlack repeats that are allowed in addition within one window, over all nodes
   * @param quota how far the requests of a team may exceed its quota
   * @param shutdownMillis the time from SIGTERM to SIGKILL
   * @param addressLifetimeSeconds how long callers keep the answer of the directory
   */
  public record Limits(
      double retryRatio,
      double retrySlack,
      QuotaTolerance quota,
      long shutdownMillis,
      int addressLifetimeSeconds) {}
}

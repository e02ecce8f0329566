package org.cranberrystand.wire.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.util.Optional;
import org.cranberrystand.dispatch.ColdTolerance;
import org.cranberrystand.dispatch.QuotaTolerance;

/**
 * Settings of a gateway, a node that forwards HTTP requests of callers along published routes.
 *
 * <p>Immutable.
 *
 * @param node the name of the node
 * @param failureDomain the failure domain of the VM
 * @param cores the CPU capacity of the VM in cores; callers are distributed in proportion to it
 * @param startsWithFleet whether the whole fleet starts now, so that no quota has been used yet
 * @param listen the listeners
 * @param seeds the peer listeners of some other nodes, used to join the fleet
 * @param store the store that publishes the routing configuration and the upstreams
 * @param limits the limits set by the operators
 * @param memory the memory that others may make the node keep
 */
public record GatewaySettings(
    String node,
    String failureDomain,
    double cores,
    boolean startsWithFleet,
    Listen listen,
    ImmutableList<HostAndPort> seeds,
    Store store,
    Limits limits,
    Memory memory) {

  /**
   * Listeners of a gateway.
   *
   * @param callers the listener for requests of callers
   * @param ready the listener for readiness checks
   * @param peers the listener for calls of other nodes
   * @param directory the listener for callers that look up the addresses of nodes
   * @param reportPort the UDP port for peer reports, the same on all VMs; 0 selects a free port
   * @param metrics the listener for metrics
   */
  public record Listen(
      HostAndPort callers,
      HostAndPort ready,
      HostAndPort peers,
      HostAndPort directory,
      int reportPort,
      HostAndPort metrics) {}

  /**
   * The store of published values.
   *
   * @param address the address of its interface
   * @param heartbeatMillis the interval in which upstreams renew their registrations there
   * @param historyMillis how long it retains changes unless it discards them sooner; 0 if unknown
   */
  public record Store(HostAndPort address, long heartbeatMillis, long historyMillis) {}

  /**
   * Limits set by the operators.
   *
   * @param retryRatio the allowed retries per request, over all nodes
   * @param retrySlack the retries allowed in addition within one window, over all nodes
   * @param quotaTolerance how far the requests of a team may exceed its quota
   * @param coldTolerance how far the requests at a cold upstream may exceed the rate that it
   *     tolerates; empty if no upstream counts as cold
   * @param shutdownMillis the time from SIGTERM to SIGKILL
   * @param addressLifetimeSeconds how long callers may cache a response of the directory
   * @param evacuateMillis how long after its publication an evacuation of a failure domain must be
   *     in effect; 0 if failure domains are not evacuated
   * @param hedgeShare the share of requests that may be hedged; 0 for none
   */
  public record Limits(
      double retryRatio,
      double retrySlack,
      QuotaTolerance quotaTolerance,
      Optional<ColdTolerance> coldTolerance,
      long shutdownMillis,
      int addressLifetimeSeconds,
      long evacuateMillis,
      double hedgeShare) {}

  /**
   * Memory that others may make a node keep.
   *
   * @param callerBytes for requests of callers and for answers that they have not read, in bytes
   * @param upstreamBytes for answers of upstreams that are not complete, in bytes
   */
  public record Memory(long callerBytes, long upstreamBytes) {
    /** The limits unless the settings name others; a fraction of the heap of production. */
    public static final Memory DEFAULT = new Memory(24 << 20, 12 << 20);
  }
}

package org.cranberrystand.membership;

import java.util.Collection;
import org.cranberrystand.dispatch.UpstreamLimits;

/**
 * Divides the rate limit of an upstream among the nodes of the cell that uses it.
 *
 * <p>Only as many nodes use a limited upstream as can each send one request at the same moment
 * without exceeding what the upstream tolerates. They are chosen by rendezvous hashing, so nodes
 * agree without messages and few of them change when a node joins or leaves. Stateless.
 */
final class RateShare {
  /** Nodes that may use an upstream with a limit near zero. */
  private static final int MIN_NODES = 3;

  /** Further nodes for each request per second of the limit. */
  private static final double NODES_PER_RATE = 2;

  /** An upstream that states no rate above zero is asked this often whether that still holds. */
  private static final double MAX_INTERVAL_NANOS = 10e9;

  private static final double NANOS_PER_SECOND = 1e9;

  private RateShare() {}

  /**
   * Returns the shortest interval at which a node may send requests to a limited upstream.
   *
   * @param upstream the identifier of the upstream
   * @param perSecond the limit in requests per second, for all nodes together
   * @param ownHost the address of the node
   * @param hosts the addresses of all nodes of the cell that may use the upstream
   * @return the interval in nanoseconds; {@link UpstreamLimits#NEVER} if other nodes use the
   *     upstream
   */
  static long minIntervalNanos(
      String upstream, double perSecond, String ownHost, Collection<String> hosts) {
    double maxNodes = MIN_NODES + Math.floor(NODES_PER_RATE * perSecond);
    long ownRank = CellLayout.hash(upstream + "@" + ownHost);
    long ahead =
        hosts.stream().filter(host -> CellLayout.hash(upstream + "@" + host) < ownRank).count();
    if (ahead >= maxNodes) {
      return UpstreamLimits.NEVER;
    }
    double nodes = Math.min(hosts.size(), maxNodes);
    return (long) Math.min(MAX_INTERVAL_NANOS, nodes * NANOS_PER_SECOND / perSecond);
  }
}

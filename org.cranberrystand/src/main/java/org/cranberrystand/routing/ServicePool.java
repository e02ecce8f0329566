package org.cranberrystand.routing;

/**
 * A pool of upstreams.
 *
 * @param name the name of the pool
 * @param maxConnections the maximum number of connections that one upstream accepts from all nodes
 *     together; 0 if unknown
 * @param engine whether its upstreams are model engines that batch requests
 * @param eventTokens the number of tokens in one event of an engine's stream; 0 if unknown
 * @param coldStart how its upstreams behave after they start during traffic
 */
public record ServicePool(
    String name, int maxConnections, boolean engine, int eventTokens, ColdStart coldStart) {
  /** The rest of the connections are in use, or nodes do not know of each other yet. */
  private static final double IDLE_CONNECTION_FRACTION = 0.5;

  /** More idle connections than this are hardly ever used again in time. */
  private static final int MAX_IDLE_CONNECTIONS = 8;

  /**
   * Returns how many idle connections a node may keep open to one upstream. An upstream resets
   * connections beyond its limit, also those with requests.
   *
   * @param nodes the number of nodes, at least 1
   * @return at least 1
   */
  public int idleConnectionsPerNode(int nodes) {
    if (maxConnections <= 0) {
      return MAX_IDLE_CONNECTIONS;
    }
    int share = (int) (maxConnections * IDLE_CONNECTION_FRACTION / nodes);
    return Math.max(1, Math.min(MAX_IDLE_CONNECTIONS, share));
  }
}

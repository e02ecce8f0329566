package org.cranberrystand.bench.capacity;

/**
 * Size of the fleet for which costs are worked out; see docs/design.md.
 *
 * @param nodes entry nodes
 * @param upstreams model runners
 * @param teams teams in steady use
 * @param requestsPerSecond requests at the peak
 * @param tokensPerSecond generated tokens at the peak
 * @param changesPerDay changes of configuration
 * @param failureDomains failure domains
 * @param nodesPerUpstream nodes that share one upstream
 */
public record PlannedSize(
    int nodes,
    int upstreams,
    int teams,
    double requestsPerSecond,
    double tokensPerSecond,
    double changesPerDay,
    int failureDomains,
    int nodesPerUpstream) {
  private static final double SECONDS_PER_DAY = 86_400;

  /**
   * Returns the size of the design.
   *
   * @return the planned size
   */
  public static PlannedSize ofDesign() {
    return new PlannedSize(460, 3_100, 24_000, 33_000, 13_000_000, 17_000, 7, 8);
  }

  /**
   * Returns how many requests one node receives per second at the peak.
   *
   * @return the mean over all nodes
   */
  public double requestsPerNode() {
    return requestsPerSecond / nodes;
  }

  /**
   * Returns how many upstreams one node uses.
   *
   * @return the mean size of the subset of a node
   */
  public double upstreamsPerNode() {
    return (double) upstreams * nodesPerUpstream / nodes;
  }

  /**
   * Returns the rate of changes of configuration.
   *
   * @return changes per second
   */
  public double changesPerSecond() {
    return changesPerDay / SECONDS_PER_DAY;
  }
}

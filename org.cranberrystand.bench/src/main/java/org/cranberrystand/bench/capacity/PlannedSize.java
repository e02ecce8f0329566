package org.cranberrystand.bench.capacity;

/**
 * Size of the fleet for which the costs are computed; see docs/design.md.
 *
 * @param nodes entry nodes
 * @param upstreams model engines
 * @param teams active teams
 * @param requestsPerSecond requests per second at the peak
 * @param tokensPerSecond generated tokens per second at the peak
 * @param changesPerDay configuration changes per day
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
   * Returns the size that the design plans for.
   *
   * @return the planned size
   */
  public static PlannedSize ofDesign() {
    return new PlannedSize(460, 3_100, 24_000, 33_000, 13_000_000, 17_000, 7, 8);
  }

  /**
   * Returns the requests per second that one node receives at the peak.
   *
   * @return the mean over all nodes
   */
  public double requestsPerSecondAndNode() {
    return requestsPerSecond / nodes;
  }

  /**
   * Returns the number of upstreams that one node uses.
   *
   * @return the mean size of the subset of a node
   */
  public double upstreamsPerNode() {
    return (double) upstreams * nodesPerUpstream / nodes;
  }

  /**
   * Returns the rate of configuration changes.
   *
   * @return changes per second
   */
  public double changesPerSecond() {
    return changesPerDay / SECONDS_PER_DAY;
  }
}

package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import org.cranberrystand.bundle.Tier;

/**
 * Numbers of queued and running requests on one node at one time.
 *
 * @param tiers request counts by tier
 * @param teams request counts by team, for teams with requests on the node
 * @param upstreams numbers of running requests by upstream
 */
public record LoadSnapshot(
    ImmutableMap<Tier, Counts> tiers,
    ImmutableMap<String, Counts> teams,
    ImmutableMap<String, Integer> upstreams) {

  /**
   * Request counts.
   *
   * @param queued the number of queued requests
   * @param running the number of dispatched requests
   */
  public record Counts(int queued, int running) {}
}

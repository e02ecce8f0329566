package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import org.cranberrystand.bundle.Tier;

/**
 * Requests on one node at one time.
 *
 * @param tiers counts by tier
 * @param teams counts by team, for teams with requests on the node
 * @param upstreams running requests by upstream
 */
public record LoadSnapshot(
    ImmutableMap<Tier, Counts> tiers,
    ImmutableMap<String, Counts> teams,
    ImmutableMap<String, Integer> upstreams) {

  /**
   * Counts of requests.
   *
   * @param queued the number of waiting requests
   * @param running the number of dispatched requests
   */
  public record Counts(int queued, int running) {}
}

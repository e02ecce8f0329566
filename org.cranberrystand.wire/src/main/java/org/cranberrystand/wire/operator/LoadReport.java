package org.cranberrystand.wire.operator;

import java.util.List;

/**
 * Number of requests on one node by tier or by team.
 *
 * @param node the name of the responding node
 * @param groups the tiers or the teams
 */
public record LoadReport(String node, List<Group> groups) {

  /** Copies the list and replaces null by an empty list. */
  public LoadReport {
    groups = groups == null ? List.of() : List.copyOf(groups);
  }

  /**
   * Number of requests of one tier or team.
   *
   * @param name the tier or the team
   * @param share the guaranteed share of a tier, or the weight of a team
   * @param queued the number of queued requests
   * @param running the number of dispatched requests
   */
  public record Group(String name, double share, int queued, int running) {}
}

package org.cranberrystand.wire.operator;

import java.util.List;

/**
 * Requests on one node by group.
 *
 * @param node the node that answers
 * @param groups the tiers or the teams
 */
public record LoadReport(String node, List<Group> groups) {

  /** Copies the list. */
  public LoadReport {
    groups = groups == null ? List.of() : List.copyOf(groups);
  }

  /**
   * Requests of one group.
   *
   * @param name the tier or the team
   * @param share the guaranteed share of a tier, or the weight of a team
   * @param queued the number of waiting requests
   * @param running the number of dispatched requests
   */
  public record Group(String name, double share, int queued, int running) {}
}

package org.cranberrystand.wire.operator;

import java.util.List;

/**
 * State of one node and its view of the other nodes.
 *
 * @param node the name of the responding node
 * @param incarnation its incarnation
 * @param failureDomain its failure domain
 * @param state {@code ready}, {@code waiting} for a bundle, or {@code leaving}
 * @param bundleVersion the version of the active bundle, or 0 if there is none
 * @param ledgerEntries the number of request identifiers on record
 * @param members the other nodes that the responding node knows
 */
public record NodeReport(
    String node,
    String incarnation,
    String failureDomain,
    String state,
    long bundleVersion,
    int ledgerEntries,
    List<Member> members) {

  /** Copies the list and replaces null by an empty list. */
  public NodeReport {
    members = members == null ? List.of() : List.copyOf(members);
  }

  /**
   * Another node as seen by the responding node.
   *
   * @param node the name
   * @param incarnation the incarnation, or empty if it is not known
   * @param callerAddress host and port for requests
   * @param failureDomain the failure domain
   * @param state the state
   * @param bundleVersion the version of its active bundle, or 0 if it is not known
   * @param loadPercent its load in percent, or 0 if it is not known
   */
  public record Member(
      String node,
      String incarnation,
      String callerAddress,
      String failureDomain,
      String state,
      long bundleVersion,
      int loadPercent) {}
}

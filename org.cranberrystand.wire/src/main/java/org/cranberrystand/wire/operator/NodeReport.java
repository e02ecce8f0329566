package org.cranberrystand.wire.operator;

import java.util.List;

/**
 * What one node knows about itself and the others.
 *
 * @param node the name of the node that answers
 * @param incarnation its incarnation
 * @param failureDomain its failure domain
 * @param state {@code ready}, {@code waiting} for a bundle, or {@code leaving}
 * @param bundleVersion the version in force, or 0
 * @param ledgerEntries the number of request identifiers on record
 * @param members the other nodes, as far as it knows
 */
public record NodeReport(
    String node,
    String incarnation,
    String failureDomain,
    String state,
    long bundleVersion,
    int ledgerEntries,
    List<Member> members) {

  /** Copies the list. */
  public NodeReport {
    members = members == null ? List.of() : List.copyOf(members);
  }

  /**
   * Another node as seen by the one that answers.
   *
   * @param node the name
   * @param incarnation the incarnation, or empty if it is not known
   * @param callerAddress host and port for requests
   * @param failureDomain the failure domain
   * @param state the state
   * @param bundleVersion the version in force there, or 0 if it is not known
   * @param loadPercent its load, or 0 if it is not known
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

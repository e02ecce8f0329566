package org.cranberrystand.wire.operator;

import java.util.List;

/**
 * Outcome of one request and what the scheduler did with it.
 *
 * @param node the name of the responding node
 * @param requestId the identifier of the request
 * @param issuer the node that issued the identifier
 * @param issuedHere whether the responding incarnation issued the identifier; only the issuing
 *     incarnation knows the outcome
 * @param outcome the outcome, {@code in-flight}, or {@code not-on-record}
 * @param shop the shop, or an empty string
 * @param kind the kind of work, or an empty string
 * @param tier the tier, or an empty string
 * @param team the team, or an empty string
 * @param steps the actions of the scheduler that are still retained
 */
public record ExplainReport(
    String node,
    String requestId,
    String issuer,
    boolean issuedHere,
    String outcome,
    String shop,
    String kind,
    String tier,
    String team,
    List<Step> steps) {

  /** Copies the list and replaces null by an empty list. */
  public ExplainReport {
    steps = steps == null ? List.of() : List.copyOf(steps);
  }

  /**
   * One action of the scheduler.
   *
   * @param millisAfterArrival the time since the arrival of the request, in milliseconds
   * @param action the action
   * @param detail the upstream or the reason; may be empty
   */
  public record Step(long millisAfterArrival, String action, String detail) {}
}

package org.cranberrystand.wire.operator;

import java.util.List;

/**
 * What became of one request.
 *
 * @param node the node that answers
 * @param requestId the identifier asked for
 * @param issuer the node that issued the identifier
 * @param issuedHere whether the incarnation that answers issued it; only that one knows the outcome
 * @param outcome the outcome, {@code in-flight}, or {@code not-on-record}
 * @param shop the shop, or an empty string
 * @param kind the kind of work, or an empty string
 * @param tier the tier, or an empty string
 * @param team the team, or an empty string
 * @param steps what the scheduler did, as far as it is still held
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

  /** Copies the list. */
  public ExplainReport {
    steps = steps == null ? List.of() : List.copyOf(steps);
  }

  /**
   * One step.
   *
   * @param millisAfterArrival when it happened
   * @param action what happened
   * @param detail the upstream or the reason; may be empty
   */
  public record Step(long millisAfterArrival, String action, String detail) {}
}

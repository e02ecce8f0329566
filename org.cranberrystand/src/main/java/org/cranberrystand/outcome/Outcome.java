package org.cranberrystand.outcome;

/** What became of a request, as far as the system can prove it. */
public sealed interface Outcome {

  /**
   * The upstream answered completely.
   *
   * @param answer the answer
   */
  record Answered(RecordedAnswer answer) implements Outcome {}

  /**
   * The request ran and was answered; the answer itself is no longer held.
   *
   * @param status the HTTP status of the answer
   */
  record AnsweredNotRetained(int status) implements Outcome {}

  /**
   * No upstream ran the request.
   *
   * @param reason why
   * @param retryAfterMillis when to ask again, in milliseconds from now
   */
  record NotRun(NotRunReason reason, long retryAfterMillis) implements Outcome {}

  /**
   * The request may or may not have run.
   *
   * @param cause why this is not known
   */
  record OutcomeUnknown(UnknownCause cause) implements Outcome {}

  /**
   * The upstream ran the request and failed, or its answer broke off.
   *
   * @param status the HTTP status of the upstream, or 0 if the answer broke off
   * @param detail what was seen
   */
  record UpstreamFailed(int status, String detail) implements Outcome {}

  /**
   * Returns the name used in headers and reports.
   *
   * @return a lower-case name with hyphens
   */
  default String label() {
    if (this instanceof Answered) {
      return "answered";
    }
    if (this instanceof AnsweredNotRetained) {
      return "answer-not-retained";
    }
    if (this instanceof NotRun) {
      return "not-run";
    }
    return this instanceof OutcomeUnknown ? "outcome-unknown" : "upstream-failed";
  }
}

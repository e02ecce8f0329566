package org.cranberrystand.outcome;

/** Final state of a request, as far as the system can prove it. */
public sealed interface Outcome {

  /**
   * The upstream returned a complete answer.
   *
   * @param answer the answer
   */
  record Answered(RecordedAnswer answer) implements Outcome {}

  /**
   * The request was run and answered, but the answer is no longer stored.
   *
   * @param status the HTTP status of the answer
   */
  record AnsweredNotRetained(int status) implements Outcome {}

  /**
   * No upstream ran the request.
   *
   * @param reason why the request was not run
   * @param retryAfterMillis how long to wait before a retry, in milliseconds
   */
  record NotRun(NotRunReason reason, long retryAfterMillis) implements Outcome {}

  /**
   * The request may or may not have run.
   *
   * @param cause why the outcome is unknown
   */
  record OutcomeUnknown(UnknownCause cause) implements Outcome {}

  /**
   * The upstream ran the request and failed, or its answer was truncated.
   *
   * @param status the HTTP status of the upstream, or 0 if the answer was truncated
   * @param detail a description of the failure
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

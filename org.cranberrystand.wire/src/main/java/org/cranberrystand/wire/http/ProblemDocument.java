package org.cranberrystand.wire.http;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.cranberrystand.outcome.Outcome;

/**
 * Problem document according to RFC 9457.
 *
 * @param type the URN of the type
 * @param title a sentence for people
 * @param status the HTTP status
 * @param detail what happened in this case; may be null
 * @param reason a machine-readable refinement of the type; may be null
 * @param requestId the identifier of the request; may be null
 * @param retryAfterMillis when to ask again, in milliseconds; null if asking again is not sound
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ProblemDocument(
    String type,
    String title,
    int status,
    String detail,
    String reason,
    String requestId,
    Long retryAfterMillis) {

  /**
   * Creates a document without refinement.
   *
   * @param type the type
   * @param detail what happened in this case
   * @return a document
   */
  public static ProblemDocument of(ProblemType type, String detail) {
    return new ProblemDocument(type.uri(), type.title(), type.status(), detail, null, null, null);
  }

  /**
   * Describes an outcome that is not an answer.
   *
   * @param outcome the outcome
   * @param repeatable whether the kind of work may be sent again under a fresh identifier
   * @param requestId the identifier of the request; may be null
   * @return a document
   * @throws IllegalArgumentException if the outcome is an answer
   */
  public static ProblemDocument of(Outcome outcome, boolean repeatable, String requestId) {
    if (outcome instanceof Outcome.NotRun notRun) {
      Long retryAfter = notRun.reason().isRetryable() ? notRun.retryAfterMillis() : null;
      return build(
          ProblemType.NOT_RUN,
          notRun.reason().status(),
          notRun.reason().label(),
          requestId,
          retryAfter);
    }
    if (outcome instanceof Outcome.OutcomeUnknown unknown) {
      Long retryAfter = repeatable ? Long.valueOf(0) : null;
      return build(
          ProblemType.OUTCOME_UNKNOWN,
          ProblemType.OUTCOME_UNKNOWN.status(),
          unknown.cause().label(),
          requestId,
          retryAfter);
    }
    if (outcome instanceof Outcome.UpstreamFailed failed) {
      return new ProblemDocument(
          ProblemType.UPSTREAM_FAILED.uri(),
          ProblemType.UPSTREAM_FAILED.title(),
          ProblemType.UPSTREAM_FAILED.status(),
          failed.detail(),
          null,
          requestId,
          null);
    }
    if (outcome instanceof Outcome.AnsweredNotRetained) {
      ProblemType type = ProblemType.ANSWER_NOT_RETAINED;
      return build(type, type.status(), null, requestId, null);
    }
    throw new IllegalArgumentException("not a problem: " + outcome.label());
  }

  private static ProblemDocument build(
      ProblemType type, int status, String reason, String requestId, Long retryAfterMillis) {
    return new ProblemDocument(
        type.uri(), type.title(), status, null, reason, requestId, retryAfterMillis);
  }

  /**
   * Returns the value of the header {@code Retry-After}.
   *
   * @return whole seconds, rounded up, or null if asking again is not sound
   */
  @JsonIgnore
  public String retryAfterSeconds() {
    return retryAfterMillis == null ? null : Long.toString((retryAfterMillis + 999) / 1000);
  }
}

package org.cranberrystand.wire.http;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonInclude;
import org.cranberrystand.outcome.Outcome;

/**
 * Problem document according to RFC 9457.
 *
 * @param type the URN of the problem type
 * @param title a short summary of the problem type for people
 * @param status the HTTP status
 * @param detail an explanation of this occurrence; may be null
 * @param reason the machine-readable reason within the type; may be null
 * @param requestId the identifier of the request; may be null
 * @param retryAfterMillis the delay before a retry, in milliseconds; null if a retry is not safe
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
   * Creates a document without reason, request identifier and retry delay.
   *
   * @param type the problem type
   * @param detail an explanation of this occurrence
   * @return the document
   */
  public static ProblemDocument of(ProblemType type, String detail) {
    return new ProblemDocument(type.uri(), type.title(), type.status(), detail, null, null, null);
  }

  /**
   * Creates the document for an outcome without an answer to return.
   *
   * @param outcome the outcome
   * @param repeatable whether the caller may send the request again with a new identifier
   * @param requestId the identifier of the request; may be null
   * @return the document
   * @throws IllegalArgumentException if the outcome has an answer to return
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
    throw new IllegalArgumentException("no problem document exists for outcome " + outcome.label());
  }

  private static ProblemDocument build(
      ProblemType type, int status, String reason, String requestId, Long retryAfterMillis) {
    return new ProblemDocument(
        type.uri(), type.title(), status, null, reason, requestId, retryAfterMillis);
  }

  /**
   * Returns the value of the header {@code Retry-After}.
   *
   * @return the delay in seconds, rounded up, or null if a retry is not safe
   */
  @JsonIgnore
  public String retryAfterSeconds() {
    return retryAfterMillis == null ? null : Long.toString((retryAfterMillis + 999) / 1000);
  }
}

package org.cranberrystand.pgm.load;

import java.io.IOException;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ProblemDocument;
import org.cranberrystand.wire.http.ProblemType;

/**
 * Decision of a caller whether and how to retry a request after a failed attempt.
 *
 * @param action whether and how to retry
 * @param delayMillis how long to wait before the retry
 * @param identifier the identifier that the node supplied for the next attempt; null for none
 * @param outcome the outcome to report if the request is not retried
 */
record RetryDecision(Action action, long delayMillis, String identifier, String outcome) {

  /** Possible actions. */
  enum Action {
    /** Do not retry; the outcome is final. */
    STOP,
    /** Retry with the same identifier. */
    RETRY_WITH_SAME_IDENTIFIER,
    /** Retry with a new identifier, or without one for repeatable kinds. */
    RETRY_WITH_NEW_IDENTIFIER
  }

  /**
   * Decides after a connection broke or could not be established.
   *
   * @param requestClass the class of the request
   * @return a retry; with the same identifier for kinds that are not repeatable, so that the
   *     request runs at most once
   */
  static RetryDecision afterBrokenConnection(RequestClass requestClass) {
    return new RetryDecision(
        requestClass.isRepeatable()
            ? Action.RETRY_WITH_NEW_IDENTIFIER
            : Action.RETRY_WITH_SAME_IDENTIFIER,
        0,
        null,
        "connection-broken");
  }

  /**
   * Decides after the issuer was unreachable and the request was never sent.
   *
   * @return a retry with a new identifier, since the request cannot have run
   */
  static RetryDecision afterFailedConnection() {
    return new RetryDecision(Action.RETRY_WITH_NEW_IDENTIFIER, 0, null, "connection-failed");
  }

  /**
   * Decides after an answer with a problem document.
   *
   * @param requestClass the class of the request
   * @param status the HTTP status
   * @param body the problem document
   * @return a retry with a new identifier only if the request did not run or is repeatable
   */
  static RetryDecision afterProblem(RequestClass requestClass, int status, byte[] body) {
    ProblemDocument problem;
    try {
      problem = Json.read(body, ProblemDocument.class);
    } catch (IOException e) {
      return new RetryDecision(Action.STOP, 0, null, "status-" + status);
    }
    String type = problem.type() == null ? "" : problem.type();
    String outcomeLabel = type.substring(type.lastIndexOf(':') + 1);
    long delayMillis = problem.retryAfterMillis() == null ? 0 : problem.retryAfterMillis();
    if (type.equals(ProblemType.IDENTIFIER_REQUIRED.uri())) {
      return new RetryDecision(
          Action.RETRY_WITH_SAME_IDENTIFIER, 0, problem.requestId(), outcomeLabel);
    }
    boolean retryAllowed = problem.retryAfterMillis() != null;
    if (type.equals(ProblemType.NOT_RUN.uri()) && retryAllowed) {
      return new RetryDecision(Action.RETRY_WITH_NEW_IDENTIFIER, delayMillis, null, outcomeLabel);
    }
    if (type.equals(ProblemType.OUTCOME_UNKNOWN.uri()) && requestClass.isRepeatable()) {
      return new RetryDecision(Action.RETRY_WITH_NEW_IDENTIFIER, delayMillis, null, outcomeLabel);
    }
    return new RetryDecision(
        Action.STOP, 0, null, outcomeLabel.isEmpty() ? "status-" + status : outcomeLabel);
  }
}

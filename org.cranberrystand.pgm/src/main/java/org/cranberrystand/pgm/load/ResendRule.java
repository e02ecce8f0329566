package org.cranberrystand.pgm.load;

import java.io.IOException;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ProblemDocument;
import org.cranberrystand.wire.http.ProblemType;

/**
 * What a caller does after an attempt without an answer.
 *
 * @param action whether and how to send the request again
 * @param delayMillis how long to wait first
 * @param identifier the identifier that the node gave for the next attempt; null for none
 * @param outcome the outcome to report if the request is not sent again
 */
record ResendRule(Action action, long delayMillis, String identifier, String outcome) {

  /** Ways to go on. */
  enum Action {
    /** The outcome is final. */
    STOP,
    /** Send again with the same identifier. */
    SAME_IDENTIFIER,
    /** Send again with a fresh identifier, or without one for repeatable kinds. */
    FRESH_IDENTIFIER
  }

  /**
   * Decides after the connection broke or could not be established.
   *
   * @param requestClass what was sent
   * @return same identifier for work that may not be repeated
   */
  static ResendRule afterBrokenConnection(RequestClass requestClass) {
    return new ResendRule(
        requestClass.isRepeatable() ? Action.FRESH_IDENTIFIER : Action.SAME_IDENTIFIER,
        0,
        null,
        "connection-broken");
  }

  /**
   * Decides after no connection to the issuer was established and nothing was ever sent.
   *
   * @return fresh identifier, since the request cannot have run
   */
  static ResendRule afterFailedConnection() {
    return new ResendRule(Action.FRESH_IDENTIFIER, 0, null, "connection-failed");
  }

  /**
   * Decides after a problem document.
   *
   * @param requestClass what was sent
   * @param status the HTTP status
   * @param body the document
   * @return fresh identifier only after not-run or for repeatable kinds
   */
  static ResendRule afterProblem(RequestClass requestClass, int status, byte[] body) {
    ProblemDocument problem;
    try {
      problem = Json.read(body, ProblemDocument.class);
    } catch (IOException e) {
      return new ResendRule(Action.STOP, 0, null, "status-" + status);
    }
    String type = problem.type() == null ? "" : problem.type();
    String label = type.substring(type.lastIndexOf(':') + 1);
    long delay = problem.retryAfterMillis() == null ? 0 : problem.retryAfterMillis();
    if (type.equals(ProblemType.IDENTIFIER_REQUIRED.uri())) {
      return new ResendRule(Action.SAME_IDENTIFIER, 0, problem.requestId(), label);
    }
    boolean invited = problem.retryAfterMillis() != null;
    if (type.equals(ProblemType.NOT_RUN.uri()) && invited) {
      return new ResendRule(Action.FRESH_IDENTIFIER, delay, null, label);
    }
    if (type.equals(ProblemType.OUTCOME_UNKNOWN.uri()) && requestClass.isRepeatable()) {
      return new ResendRule(Action.FRESH_IDENTIFIER, delay, null, label);
    }
    return new ResendRule(Action.STOP, 0, null, label.isEmpty() ? "status-" + status : label);
  }
}

package org.cranberrystand.wire.http;

import java.util.Locale;

/** Types of problem documents. */
public enum ProblemType {
  /** No upstream ran the request. */
  NOT_RUN(503, "The request was not run."),
  /** The request may or may not have run. */
  OUTCOME_UNKNOWN(504, "It is not known whether the request was run."),
  /** The upstream failed or its answer was incomplete. */
  UPSTREAM_FAILED(502, "The upstream ran the request and failed."),
  /** A request that must not be repeated has no identifier. */
  IDENTIFIER_REQUIRED(
      428, "This kind of work needs a request identifier; send the request with the given one."),
  /** The identifier was already used by another shop or with another body. */
  IDENTIFIER_MISMATCH(422, "The request identifier was used for another request."),
  /** The request was answered, but the answer is no longer retained. */
  ANSWER_NOT_RETAINED(410, "The request was answered; the answer is no longer held."),
  /** The request is malformed. */
  INVALID_REQUEST(400, "The request is malformed; nothing was run."),
  /** The resource does not exist. */
  NOT_FOUND(404, "There is no such resource."),
  /** The caller is not authenticated. */
  UNAUTHORIZED(401, "The credentials are missing or wrong.");

  private static final String PREFIX = "urn:cranberrystand:problem:";

  private final int status;
  private final String title;

  ProblemType(int status, String title) {
    this.status = status;
    this.title = title;
  }

  public int status() {
    return status;
  }

  public String title() {
    return title;
  }

  /**
   * Returns the URN of the type.
   *
   * @return the URN, which does not change between versions
   */
  public String uri() {
    return PREFIX + name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}

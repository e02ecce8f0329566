package org.cranberrystand.wire.http;

/** Names of HTTP headers, and media types. */
public final class ApiHeaders {
  /** The shop that sends a request. */
  public static final String SHOP = "Cranberrystand-Shop";

  /** The request identifier sent by the caller. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The time limit for the first token, in milliseconds; a later answer is of no use. */
  public static final String DEADLINE_MILLIS = "Cranberrystand-Deadline-Ms";

  /** The identifier under which the request is recorded. */
  public static final String REQUEST_ID = "Cranberrystand-Request-Id";

  /** The node that sent the response. */
  public static final String NODE = "Cranberrystand-Node";

  /** The outcome of the request. */
  public static final String OUTCOME = "Cranberrystand-Outcome";

  /** The upstream that served the request. */
  public static final String UPSTREAM = "Cranberrystand-Upstream";

  /** The reference with which the caller can fetch the rest of the answer from any node. */
  public static final String RESUME = "Cranberrystand-Resume";

  /** Set by an upstream that refuses a request before running it. */
  public static final String NOT_RUN = "Not-Run";

  /** The request identifier sent to an upstream. */
  public static final String UPSTREAM_REQUEST_ID = "X-Request-Id";

  /** The identifier of the engine stream that carries the answer. */
  public static final String STREAM_ID = "Stream-Id";

  /** The fencing number of an order to an engine. */
  public static final String FENCING_NUMBER = "Fencing-Number";

  /** The revision of a value of the configuration service. */
  public static final String REVISION = "Revision";

  /** Media type of problem documents. */
  public static final String PROBLEM_JSON = "application/problem+json";

  /** Media type of event streams. */
  public static final String EVENT_STREAM = "text/event-stream";

  private ApiHeaders() {}
}

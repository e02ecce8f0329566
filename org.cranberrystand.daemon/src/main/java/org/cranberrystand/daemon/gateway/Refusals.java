package org.cranberrystand.daemon.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ProblemDocument;

/** Answers of the node itself. */
final class Refusals {
  private static final String PROBLEM_TYPE = "application/problem+json";

  /** No specific type (RFC 9457, section 4.2.1). */
  private static final String NO_TYPE = "about:blank";

  private Refusals() {}

  /**
   * Answers a request.
   *
   * @param exchange the request
   * @param status the status
   * @param detail what happened in this case
   * @param retryAfterMillis when to come back, in milliseconds; 0 says nothing about it
   */
  static void write(
      CallerExchange exchange, HttpResponseStatus status, String detail, long retryAfterMillis) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, PROBLEM_TYPE);
    if (retryAfterMillis > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER,
          String.format(Locale.ROOT, "%.3f", retryAfterMillis / 1000.0));
    }
    ProblemDocument document =
        new ProblemDocument(
            NO_TYPE, status.reasonPhrase(), status.code(), detail, null, null, null);
    exchange.respond(status, headers, Unpooled.wrappedBuffer(Json.toBytes(document)));
  }
}

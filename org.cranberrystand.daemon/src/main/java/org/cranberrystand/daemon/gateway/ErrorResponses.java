package org.cranberrystand.daemon.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ProblemDocument;

/** Writes the error responses of the node itself, as problem documents (RFC 9457). */
final class ErrorResponses {
  private static final String PROBLEM_TYPE = "application/problem+json";

  /** The problem type for problems that have no type of their own (RFC 9457, section 4.2.1). */
  private static final String NO_TYPE = "about:blank";

  private ErrorResponses() {}

  /**
   * Responds that a request did not run.
   *
   * @param exchange the request
   * @param reason the reason
   * @param retryAfterMillis when the caller may come again, in milliseconds
   */
  static void refuse(CallerExchange exchange, NotRunReason reason, long retryAfterMillis) {
    write(exchange, HttpResponseStatus.valueOf(reason.status()), reason.label(), retryAfterMillis);
  }

  /**
   * Responds to a request with a problem document.
   *
   * @param exchange the request
   * @param status the HTTP status
   * @param detail the explanation of this occurrence
   * @param retryAfterMillis value of the Retry-After header, in milliseconds; 0 to omit the header
   */
  static void write(
      CallerExchange exchange, HttpResponseStatus status, String detail, long retryAfterMillis) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, PROBLEM_TYPE);
    if (exchange.request() != null) {
      ForwardedRequest.markResponse(headers, exchange.request().headers());
    }
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

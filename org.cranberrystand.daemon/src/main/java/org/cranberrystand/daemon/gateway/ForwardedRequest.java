package org.cranberrystand.daemon.gateway;

import com.google.common.primitives.Ints;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;

/**
 * What a node says of a request that it forwards to another node.
 *
 * <p>Callers may send the header too. It gives no rights: a request that bears it is charged like
 * any other, and only has fewer ways to be served.
 *
 * @param isForwarded whether another node forwarded the request
 * @param runs how many upstreams may have run the request before
 */
record ForwardedRequest(boolean isForwarded, int runs) {
  /** In requests: identifier and runs. Responses of the node itself repeat it. */
  private static final AsciiString HEADER = AsciiString.cached("cranberrystand-forwarded");

  private static final char SEPARATOR = '/';

  static ForwardedRequest read(HttpHeaders requestHeaders) {
    String value = requestHeaders.get(HEADER);
    if (value == null) {
      return new ForwardedRequest(false, 0);
    }
    Integer runs = Ints.tryParse(value.substring(value.lastIndexOf(SEPARATOR) + 1));
    return new ForwardedRequest(true, runs == null ? 0 : Math.max(0, runs));
  }

  static void write(HttpHeaders requestHeaders, String requestId, int runs) {
    requestHeaders.set(HEADER, requestId + SEPARATOR + runs);
  }

  /** Removes the header, which upstreams must not receive. */
  static void remove(HttpHeaders requestHeaders) {
    requestHeaders.remove(HEADER);
  }

  /** Lets the forwarding node recognize a response of the node itself. */
  static void markResponse(HttpHeaders responseHeaders, HttpHeaders requestHeaders) {
    String value = requestHeaders.get(HEADER);
    if (value != null) {
      responseHeaders.set(HEADER, value);
    }
  }

  /** Returns the identifier of the request to which the node itself responded; null if unknown. */
  static String respondedTo(HttpHeaders responseHeaders) {
    String value = responseHeaders.get(HEADER);
    int separator = value == null ? -1 : value.lastIndexOf(SEPARATOR);
    return separator < 0 ? null : value.substring(0, separator);
  }
}

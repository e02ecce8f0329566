package org.cranberrystand.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Translates between the HTTP headers of a platform and the gateway's own types.
 *
 * <p>Implementations make no decisions. Implementations are thread-safe.
 */
public interface HeaderCodec {

  /**
   * Parses the headers of a caller's request.
   *
   * @param headers the headers
   * @return the parsed headers; malformed values count as missing
   */
  CallerHeaders readRequest(HttpHeaders headers);

  /**
   * Turns the headers of a caller's request into the headers for an upstream.
   *
   * <p>Removes the headers that only nodes may set.
   *
   * @param headers the caller's headers without hop-by-hop headers; modified
   * @param caller the parsed headers of the caller
   * @param upstream the values that the node adds
   */
  void writeRequest(HttpHeaders headers, CallerHeaders caller, UpstreamHeaders upstream);

  /**
   * Sets how long the sender of a request waits for the response.
   *
   * @param headers the headers of a request; modified
   * @param waitMillis the time in milliseconds
   */
  void writeWait(HttpHeaders headers, long waitMillis);

  /**
   * Parses the headers of an upstream's response.
   *
   * @param response the status line and headers
   * @return the parsed headers
   */
  ResponseHeaders readResponse(HttpResponse response);

  /**
   * Removes the headers that upstreams send to nodes only.
   *
   * @param headers the headers of a response; modified
   */
  void removeInternalHeaders(HttpHeaders headers);
}

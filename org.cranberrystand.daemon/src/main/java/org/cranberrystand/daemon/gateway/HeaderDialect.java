package org.cranberrystand.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/**
 * The headers that callers, nodes and upstreams of a platform use.
 *
 * <p>Implementations translate and decide nothing. Safe for use by several threads.
 */
public interface HeaderDialect {

  /**
   * Reads the headers of a caller's request.
   *
   * @param headers the headers
   * @return what they say; malformed values count as missing
   */
  CallerHead readRequest(HttpHeaders headers);

  /**
   * Turns the headers of a caller's request into those for an upstream.
   *
   * <p>Headers that only nodes may set are removed.
   *
   * @param headers the caller's headers, without those that concern one connection; changed
   * @param caller what the caller's headers said
   * @param added what the node adds
   */
  void writeRequest(HttpHeaders headers, CallerHead caller, UpstreamHead added);

  /**
   * Reads the head of an upstream's answer.
   *
   * @param response the head
   * @return what it says
   */
  AnswerHead readAnswer(HttpResponse response);

  /**
   * Removes headers that are between nodes and upstreams only.
   *
   * @param headers the headers of an answer; changed
   */
  void cleanAnswer(HttpHeaders headers);
}

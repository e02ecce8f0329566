package org.cranberrystand.daemon.gateway;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the responses on a connection to an upstream, within limits. */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  private HttpMethod method = HttpMethod.GET;

  UpstreamResponseDecoder() {
    super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
  }

  /** Sets the method of the request whose response comes next. */
  void setMethod(HttpMethod requestMethod) {
    method = requestMethod;
  }

  /** Returns whether a response ends with its head, whatever length it declares. */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage response) {
    return method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(response);
  }

  /** Returns whether bytes have arrived that are no complete part of a response yet. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }
}

package org.cranberrystand.daemon.gateway;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;

/** Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1). */
final class HopByHopHeaders {
  private static final ImmutableList<AsciiString> NAMES =
      ImmutableList.of(
          HttpHeaderNames.CONNECTION,
          AsciiString.cached("keep-alive"),
          AsciiString.cached("proxy-connection"),
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private HopByHopHeaders() {}

  /**
   * Removes the hop-by-hop headers, including those listed in the Connection header.
   *
   * @param headers the headers; modified
   */
  static void remove(HttpHeaders headers) {
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : Splitter.on(',').trimResults().omitEmptyStrings().split(value)) {
        headers.remove(name);
      }
    }
    NAMES.forEach(headers::remove);
  }
}

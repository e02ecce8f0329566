package org.cranberrystand.daemon.gateway;

import com.google.common.base.Splitter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Recognizes a response that its upstream has cut short, so that the next one on the connection is
 * read as its rest: status, headers and body would be of two responses. Thread-safe.
 */
final class EmbeddedResponse {
  private static final String PROTOCOL_NAME = "HTTP";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}\\b");

  /** A status line, the complete header lines after it, and the end of the head or of the text. */
  private static final Pattern HEAD =
      Pattern.compile(
          STATUS_LINE
              + "[^\r\n]*+\r\n"
              + "(?<lines>(?:[\\w!#$%&'*+.^`|~-]++:[^\r\n]*+\r\n)++)"
              + "(?:(?<end>\r\n)|[^\r\n]*+\r?\\z)");

  private static final ByteBuf PROTOCOL =
      Unpooled.unreleasableBuffer(
          Unpooled.copiedBuffer(PROTOCOL_NAME, StandardCharsets.US_ASCII).asReadOnly());

  private final HeaderCodec headerCodec;

  EmbeddedResponse(HeaderCodec headerCodec) {
    this.headerCodec = headerCodec;
  }

  /** Returns whether a head contains the start of another one. */
  static boolean isInHead(HttpResponse head) {
    // The decoder accepts any name of the protocol.
    return !head.protocolVersion().protocolName().equals(PROTOCOL_NAME)
        || containsStatusLine(head.status().reasonPhrase())
        || head.headers().entries().stream()
            .map(Map.Entry::getValue)
            .anyMatch(EmbeddedResponse::containsStatusLine);
  }

  private static boolean containsStatusLine(String text) {
    return STATUS_LINE.matcher(text).find();
  }

  /**
   * Returns whether a body, or a part of one, contains the head of the response to a request, or
   * ends within a head.
   */
  boolean isInBody(ByteBuf body) {
    if (ByteBufUtil.indexOf(PROTOCOL, body) < 0) {
      return false;
    }
    Matcher head = HEAD.matcher(body.toString(StandardCharsets.ISO_8859_1));
    while (head.find()) {
      if (head.group("end") == null || isResponseToRequest(head.group("lines"))) {
        return true;
      }
    }
    return false;
  }

  private boolean isResponseToRequest(String headerLines) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    for (String line : Splitter.on("\r\n").omitEmptyStrings().split(headerLines)) {
      List<String> parts = Splitter.on(':').limit(2).trimResults().splitToList(line);
      head.headers().add(parts.get(0), parts.get(1).replaceAll("\\p{Cntrl}", ""));
    }
    return headerCodec.readResponse(head).requestId() != null;
  }
}

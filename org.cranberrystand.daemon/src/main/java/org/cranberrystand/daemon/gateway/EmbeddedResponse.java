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

  /** Longer heads are malformed. */
  private static final int MAX_HEAD_BYTES = 40_960;

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}\\b");

  /** A status line, the complete header lines after it, and the end of the head or of the text. */
  private static final Pattern HEAD =
      Pattern.compile(
          STATUS_LINE
              + "[^\r\n]*+\r\n"
              + "(?<lines>(?:[\\w!#$%&'*+.^`|~-]++:[^\r\n]*+\r\n){1,64}+)"
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

  /** Returns whether a text contains the start of a head. */
  static boolean containsStatusLine(String text) {
    return STATUS_LINE.matcher(text).find();
  }

  /** Returns whether a body contains the head of the response to a request, or ends within one. */
  boolean isInBodyOrCut(ByteBuf body) {
    return containsHead(body, true);
  }

  /** Returns whether a body contains the whole head of the response to a request. */
  boolean isInBody(ByteBuf body) {
    return containsHead(body, false);
  }

  private boolean containsHead(ByteBuf body, boolean unfinished) {
    if (ByteBufUtil.indexOf(PROTOCOL, body) < 0) {
      return false;
    }
    Matcher head = HEAD.matcher(body.toString(StandardCharsets.ISO_8859_1));
    while (head.find()) {
      boolean whole = head.group("end") != null;
      if (whole ? isResponseToRequest(head.group("lines")) : unfinished) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the index at which a head may begin whose end has not arrived; the writer index of the
   * body if there is none.
   */
  int unfinishedHeadIndex(ByteBuf body) {
    int start = Math.max(body.readerIndex(), body.writerIndex() - MAX_HEAD_BYTES);
    String text = body.toString(start, body.writerIndex() - start, StandardCharsets.ISO_8859_1);
    Matcher head = HEAD.matcher(text);
    for (int i = text.indexOf('H'); i >= 0; i = text.indexOf('H', i + 1)) {
      boolean matches = head.region(i, text.length()).lookingAt();
      if (matches ? head.group("end") == null : head.hitEnd()) {
        return start + i;
      }
    }
    return body.writerIndex();
  }

  private boolean isResponseToRequest(String headerLines) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    for (String line : Splitter.on("\r\n").omitEmptyStrings().split(headerLines)) {
      List<String> parts = Splitter.on(':').limit(2).trimResults().splitToList(line);
      head.headers().add(parts.get(0), parts.get(1).replaceAll("\\p{Cntrl}", ""));
    }
    ResponseHeaders headers = headerCodec.readResponse(head);
    return headers.requestId() != null || headers.sealed() || headers.notRun();
  }
}

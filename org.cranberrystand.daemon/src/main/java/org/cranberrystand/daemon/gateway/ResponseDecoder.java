package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;

/**
 * Decodes the responses on a connection, within limits. A response that is no HTTP/1.1 ends with a
 * part whose decoder result is a failure, and nothing is decoded after it.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /** What a header line takes in memory in addition to its bytes. */
  private static final int LINE_OVERHEAD_BYTES = 160;

  private HttpMethod method = HttpMethod.GET;

  /** What the head of the response takes in memory that is being received. */
  private long headBytes;

  /** What lines take in memory that are no complete head, or trailer, yet. */
  private long lineBytes;

  private final MessageSyntax syntax = new MessageSyntax();
  private boolean inBody;
  private boolean discarded;

  ResponseDecoder() {
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

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (discarded) {
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    int start = buffer.readerIndex();
    int decoded = out.size();
    super.decode(ctx, buffer, out);
    checkSyntax(buffer, start, out, decoded);
    Object last = out.size() > decoded ? out.get(out.size() - 1) : null;
    if (last instanceof LastHttpContent) {
      headBytes = 0;
      lineBytes = 0;
    } else if (last instanceof HttpContent) {
      lineBytes = 0;
    } else {
      lineBytes += lineBytes(buffer, start);
    }
    if (last instanceof HttpMessage) {
      headBytes = lineBytes;
      lineBytes = 0;
    }
  }

  /**
   * Checks the bytes of decoded parts, and replaces the parts by a failed one if it finds a fault.
   */
  private void checkSyntax(ByteBuf buffer, int start, List<Object> out, int decoded) {
    try {
      syntax.check(buffer, start, buffer.readerIndex());
      for (Object part : out.subList(decoded, out.size())) {
        if (part instanceof HttpMessage head) {
          beginBody(head);
        }
        if (part instanceof LastHttpContent) {
          inBody = false;
          syntax.beginMessage();
        }
      }
    } catch (MalformedMessageException e) {
      while (out.size() > decoded) {
        ReferenceCountUtil.release(out.remove(out.size() - 1));
      }
      out.add(failedPart(e));
      discarded = true;
    }
  }

  private void beginBody(HttpMessage head) throws MalformedMessageException {
    if (MessageSyntax.hasUnknownFraming(head)) {
      throw new MalformedMessageException("unknown transfer coding");
    }
    syntax.beginBody(HttpUtil.isTransferEncodingChunked(head));
    inBody = true;
  }

  private HttpObject failedPart(MalformedMessageException cause) {
    HttpObject failed =
        inBody
            ? new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER)
            : new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
    failed.setDecoderResult(DecoderResult.failure(cause));
    return failed;
  }

  private static long lineBytes(ByteBuf buffer, int start) {
    int end = buffer.readerIndex();
    long bytes = (long) end - start;
    for (int i = buffer.indexOf(start, end, (byte) '\n'); i >= 0; ) {
      bytes += LINE_OVERHEAD_BYTES;
      i = buffer.indexOf(i + 1, end, (byte) '\n');
    }
    return bytes;
  }

  /**
   * Returns what the head of a response and bytes that are not decoded yet take in memory, in
   * bytes.
   */
  long keptBytes() {
    return headBytes + lineBytes + (hasUnreadBytes() ? internalBuffer().capacity() : 0);
  }

  /** Gives up the head of a response whose rest is not wanted; the channel must be closed. */
  void discard() {
    reset();
    discarded = true;
    try {
      super.decode(null, Unpooled.EMPTY_BUFFER, new ArrayList<>());
    } catch (Exception e) {
      throw new IllegalStateException("no bytes cannot be malformed", e);
    }
  }

  /** Returns whether bytes have arrived that are no complete part of a response yet. */
  boolean hasUnreadBytes() {
    return actualReadableBytes() > 0;
  }
}

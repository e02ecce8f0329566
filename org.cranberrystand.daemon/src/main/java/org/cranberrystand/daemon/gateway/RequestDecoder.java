package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes one request of a caller at a time; what is sent ahead stays undecoded until the response
 * to the request before it is sent. Accounts for the memory of what it decodes.
 *
 * <p>Rejects requests with both Transfer-Encoding and Content-Length, which enable request
 * smuggling.
 */
final class RequestDecoder extends HttpRequestDecoder {
  private static final int MAX_CHUNK_BYTES = 16_384;

  /** Receives what the decoder keeps, and decides whether it may. */
  interface Owner {
    /** Returns whether no further request may be decoded yet. */
    boolean isPaused();

    /** Returns whether all further input is to be dropped. */
    boolean isInputDropped();

    /** A request line was received. */
    void headStarted();

    /**
     * Undecoded input is kept.
     *
     * @param bytes the size of the input
     * @param capacityBytes the memory that it takes
     * @return false if it is to be dropped
     */
    boolean inputKept(int bytes, int capacityBytes);

    /**
     * Accounts for a line of a head or of trailers, before it is kept.
     *
     * @param bytes the memory that its objects take
     * @throws MemorySpentException if there is no memory for it
     */
    void lineKept(int bytes);

    /**
     * Accounts for the buffer in which the decoder collects a line; it is as large as the longest
     * line and kept as long as the connection.
     *
     * @param capacityBytes the memory that it takes
     * @throws MemorySpentException if there is no memory for it
     */
    void lineBufferKept(int capacityBytes);

    /** Returns whether a head is being received. */
    boolean isReadingHead();

    /** Accounts for text of lines that are decoded and not added to a head or to trailers yet. */
    void lineTextKept(int bytes);
  }

  /** Thrown for a line for which there is no memory. */
  static final class MemorySpentException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MemorySpentException() {
      super("the node has no memory for the request", null, false, false);
    }
  }

  private final Owner owner;
  private ChannelHandlerContext context;
  private boolean inTrailers;

  RequestDecoder(Owner owner, int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHeadersFactory(new ChargedHeadersFactory(owner))
            .setTrailersFactory(new ChargedHeadersFactory(owner)));
    this.owner = owner;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) throws Exception {
    super.handlerAdded(ctx);
    context = ctx;
  }

  /** Decodes input that was kept. */
  void resume() throws Exception {
    channelRead(context, Unpooled.EMPTY_BUFFER);
  }

  /** Returns the size of the input that is kept undecoded. */
  int keptBytes() {
    return actualReadableBytes();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    super.channelRead(ctx, message);
    if (!owner.inputKept(actualReadableBytes(), internalBuffer().capacity())) {
      super.channelRead(ctx, Unpooled.EMPTY_BUFFER);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    // The inherited method reads on although reading was stopped, if it decoded nothing.
    discardSomeReadBytes();
    ctx.fireChannelReadComplete();
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out)
      throws Exception {
    if (owner.isInputDropped()) {
      buffer.skipBytes(buffer.readableBytes());
    } else if (!owner.isPaused()) {
      int readableBytes = buffer.readableBytes();
      super.decode(ctx, buffer, out);
      if (out.isEmpty() && (inTrailers || owner.isReadingHead())) {
        owner.lineTextKept(readableBytes - buffer.readableBytes());
      }
    }
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) throws Exception {
    owner.headStarted();
    owner.lineKept(HeadCharge.REQUEST_BYTES + initialLine[1].length());
    return super.createMessage(initialLine);
  }

  @Override
  protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
    inTrailers = false;
    owner.lineBufferKept(line.length);
    return super.splitFirstWordInitialLine(line, start, length);
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    inTrailers = !owner.isReadingHead();
    owner.lineBufferKept(line.length);
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("request has both Transfer-Encoding and Content-Length");
  }

  private record ChargedHeadersFactory(Owner owner) implements HttpHeadersFactory {
    @Override
    public HttpHeaders newHeaders() {
      return new ChargedHeaders(owner);
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return new ChargedHeaders(owner);
    }
  }

  /** Headers that account for each line which the decoder adds. */
  private static final class ChargedHeaders extends DefaultHttpHeaders {
    private final Owner owner;

    ChargedHeaders(Owner owner) {
      this.owner = owner;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      int valueChars = value instanceof CharSequence text ? text.length() : 0;
      owner.lineKept(HeadCharge.ofLine(name.length(), valueChars));
      return super.add(name, value);
    }
  }
}

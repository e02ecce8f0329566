package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.routing.CallerLimits;

/**
 * A caller's connection, which reads one complete request at a time and writes its response.
 *
 * <p>The connection is also read while a request is in progress, so that a disconnect of the caller
 * is detected at once. Used only on the event loop.
 */
// A failed write or close closes the channel, and channelInactive handles that.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter
    implements CallerExchange, CallerMemory.Holder, RequestDecoder.Owner {
  private static final int INITIAL_BODY_BYTES = 1_024;
  private static final int MAX_BODY_CAPACITY = Integer.MAX_VALUE;

  /** The first request on a connection follows its opening within this time. */
  private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Requests that fill the memory of a node are answered or refused about that soon. */
  private static final long MEMORY_RETRY_MILLIS = 500;

  /** The server that owns the connection. */
  interface Owner {
    /** Returns the current limits for callers. */
    CallerLimits limits();

    /** Handles a completely received request. */
    void requestReceived(CallerExchange exchange);

    /**
     * A request is rejected before it is complete.
     *
     * @param request the head of the request; null if it was not received
     */
    void requestRejected(HttpRequest request, HttpResponseStatus status, String cause);

    /** Returns whether connections are closed after their current response. */
    boolean isClosingConnections();

    /** Returns the account of the memory that callers use. */
    CallerMemory memory();

    void connectionOpened(CallerConnection connection);

    void connectionClosed(CallerConnection connection);
  }

  private final Owner owner;
  private final RequestDecoder decoder;
  private Channel channel;
  private HttpRequest request;
  private ByteBuf body;
  private boolean readingBody;
  private boolean responding;
  private boolean responseBegun;
  private boolean closeAfterResponse;

  /** Whether only the end of the connection tells the caller that the response is complete. */
  private boolean endsWithConnection;

  /** Set from a complete request until its response is sent. */
  private boolean paused;

  private boolean headStarted;
  private boolean inputDropped;
  private Listener listener;
  private long lastActivityNanos = System.nanoTime();
  private long headStartNanos;
  private ChannelFuture lastWrite;
  private long requestBytes;
  private long keptInputBytes;
  private long lineBufferBytes;
  private long unsentBytes;
  private long sendingBytes;
  private long lastSentNanos;

  CallerConnection(Owner owner) {
    this.owner = owner;
    this.decoder = new RequestDecoder(this, owner.limits().maxHeaderBytes());
  }

  /** Returns the decoder, which precedes the connection in the pipeline. */
  RequestDecoder decoder() {
    return decoder;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    owner.connectionOpened(this);
  }

  /** Records the arrival of bytes before they are decoded. */
  void bytesArrived() {
    lastActivityNanos = System.nanoTime();
    if (request == null && !paused && headStartNanos == 0) {
      headStartNanos = lastActivityNanos;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    readPart((HttpObject) message);
  }

  private void readPart(HttpObject part) {
    try {
      if (closeAfterResponse || responding) {
        return;
      }
      if (part.decoderResult().isFailure()) {
        rejectMalformed(part.decoderResult());
      } else if (part instanceof HttpRequest head) {
        readHead(head);
      } else if (part instanceof HttpContent content && readingBody) {
        readBody(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void readHead(HttpRequest head) {
    request = head;
    headStartNanos = 0;
    headStarted = false;
    List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
    if (hosts.size() != 1 || MessageSyntax.hasUnknownFraming(head)) {
      reject(HttpResponseStatus.BAD_REQUEST, "needs one Host header and a known body length");
      return;
    }
    if (HttpUtil.getContentLength(head, 0L) > owner.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
      return;
    }
    readingBody = true;
    body = Unpooled.EMPTY_BUFFER;
    if (HttpUtil.is100ContinueExpected(head)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void readBody(HttpContent content) {
    int bytes = content.content().readableBytes();
    if (bytes > 0 && !append(content.content(), bytes)) {
      return;
    }
    if (content instanceof LastHttpContent) {
      readingBody = false;
      responding = true;
      paused = true;
      owner.requestReceived(this);
    }
  }

  private boolean append(ByteBuf part, int bytes) {
    if (body.readableBytes() + bytes > owner.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
      return false;
    }
    if (bytes > body.writableBytes() && !growBody(bytes)) {
      refuseForMemory();
      return false;
    }
    body.writeBytes(part);
    return true;
  }

  /** Reserves the memory of a larger buffer before it is allocated. */
  private boolean growBody(int bytes) {
    int minCapacity = Math.max(body.readableBytes() + bytes, INITIAL_BODY_BYTES);
    int capacity =
        UnpooledByteBufAllocator.DEFAULT.calculateNewCapacity(minCapacity, MAX_BODY_CAPACITY);
    if (!reserveRequest(capacity - body.capacity())) {
      return false;
    }
    if (body.capacity() == 0) {
      body = Unpooled.buffer(capacity);
    } else {
      body.capacity(capacity);
    }
    return true;
  }

  private boolean reserveRequest(long bytes) {
    if (!owner.memory().tryReserve(this, bytes)) {
      return false;
    }
    requestBytes += bytes;
    return true;
  }

  private void rejectMalformed(DecoderResult result) {
    if (result.cause() instanceof RequestDecoder.MemorySpentException) {
      refuseForMemory();
    } else if (result.cause() instanceof TooLongHttpHeaderException) {
      reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are too large");
    } else if (result.cause() instanceof TooLongHttpLineException) {
      reject(HttpResponseStatus.REQUEST_URI_TOO_LONG, "the request line is too long");
    } else {
      reject(HttpResponseStatus.BAD_REQUEST, "the request is malformed", result.cause());
    }
  }

  private void reject(HttpResponseStatus status, String text) {
    reject(status, text, null);
  }

  private void reject(HttpResponseStatus status, String text, Throwable cause) {
    owner.requestRejected(request, status, cause == null ? text : text + ", " + cause);
    beginRejection();
    ErrorResponses.write(this, status, text, 0);
  }

  private void beginRejection() {
    readingBody = false;
    closeAfterResponse = true;
    responding = true;
    paused = true;
  }

  @Override
  public void headStarted() {
    headStarted = true;
  }

  @Override
  public boolean isPaused() {
    return paused;
  }

  @Override
  public boolean isInputDropped() {
    return (closeAfterResponse && !responding) || inputDropped;
  }

  @Override
  public void lineKept(int bytes) {
    if (!reserveRequest(bytes)) {
      throw new RequestDecoder.MemorySpentException();
    }
  }

  @Override
  public void lineBufferKept(int capacityBytes) {
    if (capacityBytes <= lineBufferBytes) {
      return;
    }
    if (!owner.memory().tryReserve(this, capacityBytes - lineBufferBytes)) {
      throw new RequestDecoder.MemorySpentException();
    }
    lineBufferBytes = capacityBytes;
  }

  @Override
  public boolean isReadingHead() {
    return request == null;
  }

  @Override
  public void lineTextKept(int bytes) {
    if (!paused && !reserveRequest(bytes)) {
      refuseForMemory();
    }
  }

  @Override
  public boolean inputKept(int bytes, int capacityBytes) {
    long deltaBytes = capacityBytes - keptInputBytes;
    boolean kept = deltaBytes <= 0 || owner.memory().tryReserve(this, deltaBytes);
    if (kept) {
      keptInputBytes = capacityBytes;
      if (deltaBytes < 0) {
        owner.memory().release(-deltaBytes);
      }
    } else {
      dropInput();
    }
    channel.config().setAutoRead(!paused || bytes <= owner.limits().maxHeaderBytes());
    return kept;
  }

  /**
   * Drops what was sent ahead; the caller sees by the end of the connection that it did not run.
   */
  private void dropInput() {
    inputDropped = true;
    if (paused) {
      closeAfterResponse = true;
    } else {
      refuseForMemory();
    }
  }

  @Override
  public long receivingBytes() {
    return responding || closeAfterResponse ? 0 : requestBytes;
  }

  @Override
  public long unsentBytes() {
    return unsentBytes;
  }

  @Override
  public long stalledNanos(long nowNanos) {
    return nowNanos - lastSentNanos;
  }

  @Override
  public void refuseForMemory() {
    beginRejection();
    ErrorResponses.refuse(this, NotRunReason.OVERLOADED, MEMORY_RETRY_MILLIS);
  }

  @Override
  public void closeForMemory() {
    close();
    updateUnsent();
  }

  /** Accounts for what is written and not sent, and records whether the caller reads on. */
  private void updateUnsent() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    long bytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    long progressBytes = buffer == null ? 0 : buffer.currentProgress();
    if (unsentBytes == 0 || bytes < unsentBytes || progressBytes != sendingBytes) {
      lastSentNanos = System.nanoTime();
    }
    sendingBytes = progressBytes;
    if (bytes != unsentBytes) {
      long deltaBytes = bytes - unsentBytes;
      unsentBytes = bytes;
      owner.memory().unsentChanged(deltaBytes);
    }
  }

  @Override
  public HttpRequest request() {
    return request;
  }

  @Override
  public ByteBuf body() {
    return body;
  }

  @Override
  public void setListener(Listener value) {
    listener = value;
  }

  @Override
  public boolean isOpen() {
    return channel.isActive();
  }

  @Override
  public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    int bytes = content.readableBytes();
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, content, headers, new DefaultHttpHeaders());
    boolean bodyless = status.code() == 204 || status.code() == 304 || isHead();
    if (!bodyless) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes);
    }
    prepare(response);
    responseWritten(channel.writeAndFlush(response));
  }

  private boolean isHead() {
    return request != null && request.method().equals(HttpMethod.HEAD);
  }

  @Override
  public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      endsWithConnection = true;
      closeAfterResponse = true;
    } else {
      HttpUtil.setTransferEncodingChunked(response, true);
    }
    prepare(response);
    channel.writeAndFlush(response);
    updateUnsent();
  }

  private void prepare(HttpResponse response) {
    responseBegun = true;
    closeAfterResponse |=
        owner.isClosingConnections() || request == null || !HttpUtil.isKeepAlive(request);
    if (closeAfterResponse) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void sendPart(ByteBuf part) {
    channel.writeAndFlush(new DefaultHttpContent(part));
    updateUnsent();
  }

  @Override
  public void finishResponse() {
    responseWritten(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Override
  public void abort() {
    close();
  }

  private void responseWritten(ChannelFuture write) {
    lastWrite = write;
    releaseRequest();
    listener = null;
    responding = false;
    responseBegun = false;
    request = null;
    lastActivityNanos = System.nanoTime();
    updateUnsent();
    if (closeAfterResponse) {
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    // The next request is decoded in a task, so that one connection does not starve the others.
    write.addListener(sent -> channel.eventLoop().execute(this::readNext));
  }

  /** Decodes what was sent ahead, after the response to the request before it is sent. */
  private void readNext() {
    if (!channel.isActive()) {
      return;
    }
    updateUnsent();
    if (closeAfterResponse) {
      // Input was dropped after the response was written.
      channel.close();
      return;
    }
    paused = false;
    try {
      decoder.resume();
    } catch (Exception e) {
      exceptionCaught(null, e);
      return;
    }
    if (request == null && !paused && (headStarted || decoder.keptBytes() > 0)) {
      headStartNanos = System.nanoTime();
    }
  }

  private void releaseRequest() {
    if (body != null) {
      body.release();
    }
    body = null;
    owner.memory().release(requestBytes);
    requestBytes = 0;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    updateUnsent();
    if (listener != null) {
      listener.writabilityChanged(channel.isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    owner.connectionClosed(this);
    Listener notified = listener;
    listener = null;
    if (notified != null) {
      notified.callerDisconnected();
    }
    releaseRequest();
    owner.memory().release(keptInputBytes + lineBufferBytes);
    keptInputBytes = 0;
    lineBufferBytes = 0;
    updateUnsent();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // Resets by callers are normal; channelInactive cleans up.
    channel.close();
  }

  /** Returns whether no request is being received or answered. */
  boolean isIdle() {
    return !responding && request == null && headStartNanos == 0 && !hasUnsentResponse();
  }

  /** Returns whether a request was received to which no complete response was written. */
  boolean isInProgress() {
    return responding;
  }

  /** Returns whether a response is buffered because the caller reads slowly. */
  boolean hasUnsentResponse() {
    return lastWrite != null && !lastWrite.isDone();
  }

  /**
   * Closes the connection if the caller exceeds the timeouts for headers, body or idle connections.
   */
  void checkTimeouts(long nowNanos, CallerLimits limits) {
    if (unsentBytes > 0 && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
      // The system reports a socket as writable only once much of its buffer was read.
      unsafe.forceFlush();
    }
    updateUnsent();
    if (unsentBytes > 0
        && TimeUnit.NANOSECONDS.toMillis(nowNanos - lastSentNanos) > limits.idleTimeoutMillis()) {
      close();
      return;
    }
    long quietMillis = (nowNanos - lastActivityNanos) / 1_000_000;
    if (responding) {
      return;
    }
    boolean slowHead =
        headStartNanos != 0
            && (nowNanos - headStartNanos) / 1_000_000 > limits.headerTimeoutMillis();
    if (slowHead || (readingBody && quietMillis > limits.idleTimeoutMillis())) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not arrive in time");
    } else if (isIdle() && quietMillis > limits.idleTimeoutMillis()) {
      channel.close();
    }
  }

  /** Closes the connection if no request is in progress, and none has just been announced. */
  void closeIfIdle(long nowNanos) {
    if (isIdle() && nowNanos - lastActivityNanos >= MIN_IDLE_NANOS) {
      channel.close();
    }
  }

  /** Refuses the request if it was received and no response to it was begun. */
  void refusePending() {
    if (responding && !responseBegun) {
      Listener notified = listener;
      ErrorResponses.refuse(this, NotRunReason.LEAVING, Admission.LEAVING_RETRY_MILLIS);
      if (notified != null) {
        notified.callerDisconnected();
      }
    }
  }

  /** Closes the connection so that a response in progress does not look complete. */
  void close() {
    if (endsWithConnection && (responseBegun || hasUnsentResponse())) {
      // Resets the connection; its orderly end would be the end of the response.
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }
}

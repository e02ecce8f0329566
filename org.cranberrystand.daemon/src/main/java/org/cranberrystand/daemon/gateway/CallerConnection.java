package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
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
import java.util.ArrayDeque;
import java.util.Deque;
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
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerExchange {
  /** Messages of pipelined requests that are queued before reading stops. */
  private static final int MAX_QUEUED_MESSAGES = 64;

  private static final int INITIAL_BODY_BYTES = 1_024;

  /** The first request on a connection follows its opening within this time. */
  private static final long MIN_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** The server that owns the connection. */
  interface Owner {
    /** Returns the current limits for callers. */
    CallerLimits limits();

    /** Handles a completely received request. */
    void requestReceived(CallerExchange exchange);

    /** Returns whether connections are closed after their current response. */
    boolean isClosingConnections();

    /** Reserves memory for a request body; returns false if the limit for all bodies is reached. */
    boolean reserveBodyMemory(int bytes);

    /** Releases memory that was reserved for a request body. */
    void releaseBodyMemory(int bytes);

    void connectionOpened(CallerConnection connection);

    void connectionClosed(CallerConnection connection);
  }

  private final Owner owner;
  private final Deque<HttpObject> queuedMessages = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest request;
  private ByteBuf body;
  private boolean readingBody;
  private boolean responding;
  private boolean responseBegun;
  private boolean closeAfterResponse;
  private Listener listener;
  private long lastActivityNanos = System.nanoTime();
  private long headStartNanos;
  private ChannelFuture lastWrite;

  CallerConnection(Owner owner) {
    this.owner = owner;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    owner.connectionOpened(this);
  }

  /** Records the arrival of bytes before they are decoded. */
  void bytesArrived() {
    lastActivityNanos = System.nanoTime();
    if (request == null && headStartNanos == 0) {
      headStartNanos = lastActivityNanos;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    HttpObject part = (HttpObject) message;
    if (responding || !queuedMessages.isEmpty()) {
      queuedMessages.add(part);
      if (queuedMessages.size() > MAX_QUEUED_MESSAGES) {
        channel.config().setAutoRead(false);
      }
    } else {
      readPart(part);
    }
  }

  private void readPart(HttpObject part) {
    try {
      if (closeAfterResponse) {
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
    List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
    if (hosts.size() != 1 || hasUnknownFraming(head)) {
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

  /** With a final transfer coding other than chunked, the end of the request is unknown. */
  private static boolean hasUnknownFraming(HttpMessage head) {
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return !codings.isEmpty()
        && (codings.size() > 1 || !"chunked".equalsIgnoreCase(codings.get(0).strip()));
  }

  private void readBody(HttpContent content) {
    int bytes = content.content().readableBytes();
    if (bytes > 0 && !append(content.content(), bytes)) {
      return;
    }
    if (content instanceof LastHttpContent) {
      readingBody = false;
      responding = true;
      owner.requestReceived(this);
    }
  }

  private boolean append(ByteBuf part, int bytes) {
    if (body.readableBytes() + bytes > owner.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
      return false;
    }
    if (!owner.reserveBodyMemory(bytes)) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "the node has no memory for the body");
      return false;
    }
    if (body.capacity() == 0) {
      body = Unpooled.buffer(Math.max(bytes, INITIAL_BODY_BYTES));
    }
    body.writeBytes(part);
    return true;
  }

  private void rejectMalformed(DecoderResult result) {
    if (result.cause() instanceof TooLongHttpHeaderException) {
      reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the headers are too large");
    } else if (result.cause() instanceof TooLongHttpLineException) {
      reject(HttpResponseStatus.REQUEST_URI_TOO_LONG, "the request line is too long");
    } else {
      reject(HttpResponseStatus.BAD_REQUEST, "the request is malformed");
    }
  }

  private void reject(HttpResponseStatus status, String text) {
    readingBody = false;
    closeAfterResponse = true;
    responding = true;
    ErrorResponses.write(this, status, text, 0);
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
      closeAfterResponse = true;
    } else {
      HttpUtil.setTransferEncodingChunked(response, true);
    }
    prepare(response);
    channel.writeAndFlush(response);
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
  }

  @Override
  public void finishResponse() {
    responseWritten(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Override
  public void abort() {
    channel.close();
  }

  private void responseWritten(ChannelFuture write) {
    lastWrite = write;
    releaseBody();
    listener = null;
    responding = false;
    responseBegun = false;
    request = null;
    lastActivityNanos = System.nanoTime();
    if (closeAfterResponse) {
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    channel.config().setAutoRead(true);
    // Scheduled as a task, so that a long pipeline does not recurse.
    if (!queuedMessages.isEmpty()) {
      channel.eventLoop().execute(this::readQueuedMessages);
    }
  }

  private void readQueuedMessages() {
    while (!queuedMessages.isEmpty() && !responding) {
      readPart(queuedMessages.poll());
    }
  }

  private void releaseBody() {
    if (body != null && body.capacity() > 0) {
      owner.releaseBodyMemory(body.writerIndex());
      body.release();
    }
    body = null;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
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
    releaseBody();
    queuedMessages.forEach(ReferenceCountUtil::release);
    queuedMessages.clear();
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

  /** Returns whether a response is buffered because the caller reads slowly. */
  boolean hasUnsentResponse() {
    return lastWrite != null && !lastWrite.isDone();
  }

  /**
   * Closes the connection if the caller exceeds the timeouts for headers, body or idle connections.
   */
  void checkTimeouts(long nowNanos, CallerLimits limits) {
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

  void close() {
    channel.close();
  }
}

package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
import org.cranberrystand.routing.CallerLimits;

/**
 * One connection of a caller: reads whole requests, one after the other, and writes the answers.
 *
 * <p>The connection is read while a request is in progress, so that a caller that leaves is noticed
 * at once. Used on the event loop only.
 */
// A failed write or close ends the channel, which its handler is told of.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerExchange {
  /** Messages of following requests that are kept while one is in progress. */
  private static final int MAX_QUEUED_MESSAGES = 64;

  private static final int INITIAL_BODY_BYTES = 1_024;

  /** What the server of callers decides for its connections. */
  interface Host {
    /** Returns the limits in force. */
    CallerLimits limits();

    /** Takes a whole request. */
    void received(CallerExchange exchange);

    /** Returns whether the answer is the last one on its connection. */
    boolean isClosing();

    /** Takes bytes of the memory for bodies; returns false if it is used up. */
    boolean takeBodyMemory(int bytes);

    /** Gives bytes of the memory for bodies back. */
    void returnBodyMemory(int bytes);

    void opened(CallerConnection connection);

    void closed(CallerConnection connection);
  }

  private final Host host;
  private final Deque<HttpObject> queued = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest request;
  private ByteBuf body;
  private boolean reading;
  private boolean answering;
  private boolean closeAfter;
  private Listener listener;
  private long quietSinceNanos = System.nanoTime();
  private long headStartedNanos;

  CallerConnection(Host host) {
    this.host = host;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    host.opened(this);
  }

  /** Notes bytes from the caller before they are decoded. */
  void bytesArrived() {
    quietSinceNanos = System.nanoTime();
    if (request == null && headStartedNanos == 0) {
      headStartedNanos = quietSinceNanos;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    HttpObject part = (HttpObject) message;
    if (answering || !queued.isEmpty()) {
      queued.add(part);
      if (queued.size() > MAX_QUEUED_MESSAGES) {
        channel.config().setAutoRead(false);
      }
    } else {
      readPart(part);
    }
  }

  private void readPart(HttpObject part) {
    try {
      if (closeAfter) {
        return;
      }
      if (part.decoderResult().isFailure()) {
        rejectMalformed(part.decoderResult());
      } else if (part instanceof HttpRequest head) {
        readHead(head);
      } else if (part instanceof HttpContent content && reading) {
        readBody(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  private void readHead(HttpRequest head) {
    request = head;
    headStartedNanos = 0;
    List<String> hosts = head.headers().getAll(HttpHeaderNames.HOST);
    if (hosts.size() != 1 || hasUnknownFraming(head)) {
      reject(HttpResponseStatus.BAD_REQUEST, "needs one Host header and a known body length");
      return;
    }
    if (HttpUtil.getContentLength(head, 0L) > host.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
      return;
    }
    reading = true;
    body = Unpooled.EMPTY_BUFFER;
    if (HttpUtil.is100ContinueExpected(head)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** A transfer coding other than chunked leaves open where the request ends. */
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
      reading = false;
      answering = true;
      host.received(this);
    }
  }

  private boolean append(ByteBuf part, int bytes) {
    if (body.readableBytes() + bytes > host.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
      return false;
    }
    if (!host.takeBodyMemory(bytes)) {
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
    reading = false;
    closeAfter = true;
    answering = true;
    Refusals.write(this, status, text, 0);
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
    channel.writeAndFlush(response);
    answered();
  }

  private boolean isHead() {
    return request != null && request.method().equals(HttpMethod.HEAD);
  }

  @Override
  public void begin(HttpResponseStatus status, HttpHeaders headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (request.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      closeAfter = true;
    } else {
      HttpUtil.setTransferEncodingChunked(response, true);
    }
    prepare(response);
    channel.writeAndFlush(response);
  }

  private void prepare(HttpResponse response) {
    closeAfter |= host.isClosing() || request == null || !HttpUtil.isKeepAlive(request);
    if (closeAfter) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public void send(ByteBuf part) {
    channel.writeAndFlush(new DefaultHttpContent(part));
  }

  @Override
  public void finish() {
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    answered();
  }

  @Override
  public void abort() {
    channel.close();
  }

  private void answered() {
    releaseBody();
    listener = null;
    answering = false;
    request = null;
    quietSinceNanos = System.nanoTime();
    if (closeAfter) {
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    channel.config().setAutoRead(true);
    // The next request starts after this call, so that a long pipeline does not nest.
    if (!queued.isEmpty()) {
      channel.eventLoop().execute(this::readQueued);
    }
  }

  private void readQueued() {
    while (!queued.isEmpty() && !answering) {
      readPart(queued.poll());
    }
  }

  private void releaseBody() {
    if (body != null && body.capacity() > 0) {
      host.returnBodyMemory(body.writerIndex());
      body.release();
    }
    body = null;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (listener != null) {
      listener.writable(channel.isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    host.closed(this);
    Listener told = listener;
    listener = null;
    if (told != null) {
      told.callerGone();
    }
    releaseBody();
    queued.forEach(ReferenceCountUtil::release);
    queued.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    // Resets by callers are ordinary; the close is handled in channelInactive.
    channel.close();
  }

  /** Returns whether no request is read or answered. */
  boolean isIdle() {
    return !answering && request == null && headStartedNanos == 0;
  }

  /** Ends the connection if the caller takes too long. */
  void checkTimeouts(long nowNanos, CallerLimits limits) {
    long quietMillis = (nowNanos - quietSinceNanos) / 1_000_000;
    if (answering) {
      return;
    }
    boolean slowHead =
        headStartedNanos != 0
            && (nowNanos - headStartedNanos) / 1_000_000 > limits.headerTimeoutMillis();
    if (slowHead || (reading && quietMillis > limits.idleTimeoutMillis())) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not arrive in time");
    } else if (isIdle() && quietMillis > limits.idleTimeoutMillis()) {
      channel.close();
    }
  }

  /** Closes the connection if no request is in progress. */
  void closeIfIdle() {
    if (isIdle()) {
      channel.close();
    }
  }

  void close() {
    channel.close();
  }
}

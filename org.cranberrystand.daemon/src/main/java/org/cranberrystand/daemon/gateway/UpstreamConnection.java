package org.cranberrystand.daemon.gateway;

import com.google.common.base.Splitter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * A connection to an upstream that carries one request at a time.
 *
 * <p>The connection is reused only if every response on it belonged to the pending request, was
 * framed by a length or by chunks, and was complete. A response that ends with the connection is
 * complete if the request was written and the upstream still accepts connections. Only a response
 * to a request that the connection carried before is skipped; one whose request is unknown may be
 * the response to the pending request and fails it. Used only on the event loop.
 */
// A failed write or close closes the channel, and channelInactive handles that.
@SuppressWarnings("FutureReturnValueIgnored")
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  /** More responses to other requests than this fail the pending request. */
  private static final int MAX_MISMATCHED_RESPONSES = 2;

  private static final int MAX_INTERIM_RESPONSES = 16;

  /** Late responses to other requests, which are skipped, may be as long as any. */
  private static final int MAX_SKIPPED_BYTES = 1 << 20;

  /** The length of a status line up to its status. */
  private static final int STATUS_LINE_CHARS = "HTTP/1.1 200".length();

  /** Idle connections are not used in this time before the upstream is expected to close them. */
  private static final long IDLE_MARGIN_MILLIS = 1_000;

  /** Most upstreams that announce no idle timeout close idle connections after some seconds. */
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 4_000;

  /** Receives changes of the state of a connection. */
  interface Owner {
    void connectionIdle(UpstreamConnection connection);

    void connectionClosed(UpstreamConnection connection);

    /** A response arrived that is not the one to the pending request, if there is one. */
    void responseMismatched(String detail);

    /** Finds out whether the upstream still accepts connections. */
    void checkAlive(Consumer<Boolean> result);
  }

  private final HeaderCodec headerCodec;
  private final Owner owner;
  private final ResponseDecoder decoder;
  private final Channel channel;
  private final CarriedRequests carried = new CarriedRequests();
  private final long openedNanos = System.nanoTime();
  private long receivedNanos = openedNanos;
  private PendingRequest active;
  private boolean releasePending;
  private boolean untrusted;
  private boolean connectionReset;
  private boolean checkingEnd;
  private long idleTimeoutMillis = DEFAULT_IDLE_TIMEOUT_MILLIS;
  private long idleSinceNanos = System.nanoTime();

  /**
   * Creates a connection that has carried no request.
   *
   * @param headerCodec reads the headers of responses
   * @param owner receives changes of the state of the connection
   * @param decoder the decoder in the pipeline of the channel
   * @param channel the channel
   */
  UpstreamConnection(
      HeaderCodec headerCodec, Owner owner, ResponseDecoder decoder, Channel channel) {
    this.headerCodec = headerCodec;
    this.owner = owner;
    this.decoder = decoder;
    this.channel = channel;
  }

  /** A request on the connection whose response is not complete yet. */
  static final class PendingRequest {
    private final String requestId;
    private final ResponseListener listener;
    private boolean requestWritten;
    private boolean headReceived;
    private boolean lengthDeclared;
    private boolean keepAlive;
    private boolean skippingResponse;
    private int mismatchedResponses;
    private int interimResponses;
    private int skippedBytes;

    /** The end of what was skipped, in which a status line may begin. */
    private String skippedEnd = "";

    private PendingRequest(String requestId, ResponseListener listener) {
      this.requestId = requestId;
      this.listener = listener;
    }
  }

  /** Sends a request and releases its body. */
  PendingRequest send(
      HttpRequest request, ByteBuf body, String requestId, ResponseListener listener) {
    PendingRequest started = new PendingRequest(requestId, listener);
    carried.add(requestId);
    decoder.setMethod(request.method());
    active = started;
    channel.write(request);
    channel
        .writeAndFlush(new DefaultLastHttpContent(body))
        .addListener(
            future -> {
              started.requestWritten = future.isSuccess();
              if (!future.isSuccess()) {
                // Deferred, because the caller of this method does not have the pending request
                // yet.
                channel.eventLoop().execute(() -> fail(started, future.cause()));
              }
            });
    return started;
  }

  /** Cancels a request if it is still pending; its listener is not called any more. */
  void cancel(PendingRequest request) {
    if (active == request) {
      active = null;
      // The rest of the response is no unsolicited data.
      untrusted = true;
      close();
    }
  }

  void setReading(PendingRequest request, boolean reading) {
    if (active == request) {
      channel.config().setAutoRead(reading);
    }
  }

  boolean isUsable(long nowNanos) {
    return channel.isActive()
        && active == null
        && (nowNanos - idleSinceNanos) / 1_000_000 < idleTimeoutMillis - IDLE_MARGIN_MILLIS;
  }

  /** Returns whether the connection has carried a request with the same identifier. */
  boolean hasCarried(String requestId) {
    return carried.contains(requestId);
  }

  /** Returns whether the upstream has sent anything since a time. */
  boolean hasReceivedSince(long nanos) {
    return receivedNanos - nanos > 0;
  }

  /** Returns when the connection was opened, in nanoseconds. */
  long openedNanos() {
    return openedNanos;
  }

  /** Returns the name of the connection in the log. */
  String name() {
    return channel.id().asShortText();
  }

  void close() {
    // The channel is referenced until tasks run, which may be after all channels are read.
    decoder.discard();
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    receivedNanos = System.nanoTime();
    try {
      if (active == null) {
        handleUnsolicitedData();
      } else if (message instanceof HttpResponse response) {
        readHead(response);
      } else if (message instanceof HttpContent content) {
        readContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void handleUnsolicitedData() {
    if (!untrusted) {
      owner.responseMismatched(
          "connection="
              + name()
              + " carried="
              + carried.count()
              + " cause=data on an idle connection");
    }
    untrusted = true;
    channel.close();
  }

  private void readHead(HttpResponse response) {
    PendingRequest current = active;
    if (response.decoderResult().isFailure()) {
      violated(current, malformed(response));
      return;
    }
    if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      violated(current, new IOException("upgrade of the protocol that was not asked for"));
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      current.skippingResponse = true;
      current.interimResponses++;
      if (current.interimResponses > MAX_INTERIM_RESPONSES) {
        violated(current, new IOException("too many interim responses"));
      }
      return;
    }
    if (EmbeddedResponse.isInHead(response)) {
      violated(current, new IOException("head of a response runs into another one"));
      return;
    }
    ResponseHeaders headers = headerCodec.readResponse(response);
    ResponseOwner responseOwner = carried.ownerOf(headers);
    if (responseOwner == ResponseOwner.PENDING) {
      accept(current, response, headers);
      return;
    }
    logMismatch(current, responseOwner, response, headers);
    if (responseOwner == ResponseOwner.EARLIER) {
      skip(current);
    } else {
      // Its other headers still describe the upstream.
      current.listener.headReceived(headers, response);
      violated(current, new IOException("response whose request is unknown"));
    }
  }

  private static IOException malformed(HttpObject part) {
    Throwable cause = part.decoderResult().cause();
    String name = cause.getClass().getSimpleName();
    return new IOException(
        "response is not HTTP/1.1: " + LoggedText.of(name + ": " + cause.getMessage()), cause);
  }

  private void accept(PendingRequest current, HttpResponse response, ResponseHeaders headers) {
    current.headReceived = true;
    current.lengthDeclared =
        HttpUtil.isTransferEncodingChunked(response)
            || HttpUtil.isContentLengthSet(response)
            || decoder.isContentAlwaysEmpty(response);
    current.keepAlive = HttpUtil.isKeepAlive(response);
    readIdleTimeout(response);
    current.listener.headReceived(headers, response);
  }

  private void skip(PendingRequest current) {
    untrusted = true;
    current.skippingResponse = true;
    current.mismatchedResponses++;
    if (current.mismatchedResponses > MAX_MISMATCHED_RESPONSES) {
      violated(current, new IOException("too many responses to other requests"));
    }
  }

  private void logMismatch(
      PendingRequest current,
      ResponseOwner responseOwner,
      HttpResponse response,
      ResponseHeaders headers) {
    owner.responseMismatched(
        "connection="
            + name()
            + " carried="
            + carried.count()
            + " request="
            + LoggedText.of(current.requestId)
            + " owner="
            + responseOwner
            + " status="
            + response.status().code()
            + " cause=response to another request expected="
            + LoggedText.of(current.requestId)
            + " got="
            + LoggedText.of(headers.toString()));
  }

  private void readContent(HttpContent content) {
    PendingRequest current = active;
    boolean last = content instanceof LastHttpContent;
    if (content.decoderResult().isFailure()) {
      violated(current, malformed(content));
    } else if (current.skippingResponse) {
      current.skippingResponse = !last;
      current.skippedBytes += content.content().readableBytes();
      String text = current.skippedEnd + content.content().toString(StandardCharsets.ISO_8859_1);
      current.skippedEnd = text.substring(Math.max(0, text.length() - STATUS_LINE_CHARS));
      if (EmbeddedResponse.containsStatusLine(text)) {
        violated(current, new IOException("response to another request runs into the next one"));
      } else if (current.skippedBytes > MAX_SKIPPED_BYTES) {
        violated(current, new IOException("response to another request is too long"));
      }
    } else if (!current.headReceived) {
      violated(current, new IOException("response body without a head"));
    } else {
      if (content.content().isReadable()) {
        current.listener.contentReceived(content.content());
      }
      if (last && active == current) {
        finish(current);
      }
    }
  }

  private void finish(PendingRequest current) {
    if (current.lengthDeclared) {
      complete(current);
      return;
    }
    // A write that fails takes the error which a read would have shown.
    if (connectionReset || !current.requestWritten) {
      fail(
          current,
          new IOException(
              "connection ended during a response without a declared length, reset="
                  + connectionReset
                  + " request_written="
                  + current.requestWritten));
      return;
    }
    // The connections of an upstream that crashes end in the same way.
    checkingEnd = true;
    owner.checkAlive(
        alive -> {
          if (active == current && alive) {
            complete(current);
          } else {
            fail(current, new IOException("upstream crashed, or ended during the response"));
          }
        });
  }

  private void complete(PendingRequest current) {
    active = null;
    channel.config().setAutoRead(true);
    boolean reusable =
        current.requestWritten && current.lengthDeclared && current.keepAlive && !untrusted;
    if (current.listener.responseCompleted(decoder.hasUnreadBytes()) && reusable) {
      // Wait for the end of this read: unsolicited data may follow the response.
      releasePending = true;
    } else {
      untrusted = true;
      channel.close();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (active != null) {
      active.listener.headKept(decoder.keptBytes());
    } else if (decoder.hasUnreadBytes()) {
      handleUnsolicitedData();
    }
    if (releasePending) {
      releasePending = false;
      if (!untrusted && channel.isActive()) {
        idleSinceNanos = System.nanoTime();
        owner.connectionIdle(this);
      }
    }
    ctx.fireChannelReadComplete();
  }

  private void readIdleTimeout(HttpResponse response) {
    String value = response.headers().get("keep-alive");
    if (value == null) {
      return;
    }
    for (String part : Splitter.on(',').trimResults().split(value)) {
      if (part.startsWith("timeout=")) {
        String seconds = part.substring("timeout=".length());
        if (seconds.matches("\\d{1,6}")) {
          idleTimeoutMillis = Long.parseLong(seconds) * 1000;
        }
      }
    }
  }

  /** Fails a request whose connection the upstream ended. */
  private void fail(PendingRequest failed, Throwable cause) {
    fail(failed, cause, true);
  }

  /**
   * Fails a request whose upstream violated the protocol, or closed the connection in the middle of
   * a message.
   */
  private void violated(PendingRequest failed, Throwable cause) {
    fail(failed, cause, !channel.isActive());
  }

  private void fail(PendingRequest failed, Throwable cause, boolean endedByUpstream) {
    if (active == failed) {
      active = null;
      untrusted = true;
      close();
      failed.listener.connectionBroken(cause, endedByUpstream);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    owner.connectionClosed(this);
    if (active != null && !checkingEnd) {
      fail(active, new IOException("connection closed by the upstream"));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    connectionReset = true;
    if (active != null) {
      fail(active, cause);
    } else {
      channel.close();
    }
  }
}

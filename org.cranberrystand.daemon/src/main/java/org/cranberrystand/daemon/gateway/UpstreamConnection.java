package org.cranberrystand.daemon.gateway;

import com.google.common.base.Splitter;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Objects;

/**
 * One connection to an upstream, which carries one request at a time.
 *
 * <p>The connection is trusted for a next request only while every answer on it belonged to the
 * request at hand, was framed and was complete. Used on the event loop only.
 */
// A failed write or close ends the channel, which its handler is told of.
@SuppressWarnings("FutureReturnValueIgnored")
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  /** A connection with more foreign answers than this is broken. */
  private static final int MAX_FOREIGN_ANSWERS = 2;

  /** Time before the announced end of an idle connection at which it is not used any more. */
  private static final long IDLE_MARGIN_MILLIS = 1_000;

  /** Idle connections without an announced end are closed by most upstreams after some seconds. */
  private static final long DEFAULT_IDLE_MILLIS = 4_000;

  /** Told when a connection can carry a next request, or no request any more. */
  interface Owner {
    void idle(UpstreamConnection connection);

    void closed(UpstreamConnection connection);

    void anomaly(String detail);
  }

  private final HeaderDialect dialect;
  private final Owner owner;
  private final Channel channel;
  private Ticket active;
  private boolean releasing;
  private boolean tainted;
  private boolean reset;
  private long idleMillis = DEFAULT_IDLE_MILLIS;
  private long idleSinceNanos;

  UpstreamConnection(HeaderDialect dialect, Owner owner, Channel channel) {
    this.dialect = dialect;
    this.owner = owner;
    this.channel = channel;
  }

  /** One request on the connection. */
  static final class Ticket {
    private final String requestId;
    private final AnswerListener listener;
    private boolean written;
    private boolean headSeen;
    private boolean framed;
    private boolean keepAlive;
    private boolean skipping;
    private int foreign;

    private Ticket(String requestId, AnswerListener listener) {
      this.requestId = requestId;
      this.listener = listener;
    }
  }

  /** Sends a request; the body is released. */
  Ticket send(HttpRequest request, ByteBuf body, String requestId, AnswerListener listener) {
    Ticket started = new Ticket(requestId, listener);
    active = started;
    channel.write(request);
    channel
        .writeAndFlush(new DefaultLastHttpContent(body))
        .addListener(
            future -> {
              started.written = future.isSuccess();
              if (!future.isSuccess()) {
                // Later, because the sender does not hold the ticket yet.
                channel.eventLoop().execute(() -> fail(started, future.cause()));
              }
            });
    return started;
  }

  /** Ends a request without a callback, if it is still at hand. */
  void cancel(Ticket ticket) {
    if (active == ticket) {
      active = null;
      channel.close();
    }
  }

  void setReading(Ticket ticket, boolean reading) {
    if (active == ticket) {
      channel.config().setAutoRead(reading);
    }
  }

  boolean isUsable(long nowNanos) {
    return channel.isActive()
        && active == null
        && (nowNanos - idleSinceNanos) / 1_000_000 < idleMillis - IDLE_MARGIN_MILLIS;
  }

  void close() {
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (active == null) {
        rejectUnasked();
      } else if (message instanceof HttpResponse response) {
        readHead(response);
      } else if (message instanceof HttpContent content) {
        readContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void rejectUnasked() {
    if (!tainted) {
      owner.anomaly("bytes on an idle connection");
    }
    tainted = true;
    channel.close();
  }

  private void readHead(HttpResponse response) {
    Ticket current = active;
    if (response.decoderResult().isFailure()) {
      fail(current, new IOException("not an HTTP answer", response.decoderResult().cause()));
      return;
    }
    if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      current.skipping = true;
      return;
    }
    AnswerHead head = dialect.readAnswer(response);
    if (isForeign(current, head)) {
      skipForeign(current, head);
      return;
    }
    current.headSeen = true;
    current.framed =
        HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response);
    current.keepAlive = HttpUtil.isKeepAlive(response);
    noteKeepAlive(response);
    current.listener.head(head, response);
  }

  private static boolean isForeign(Ticket current, AnswerHead head) {
    if (head.requestId() == null) {
      return !head.notRun();
    }
    return !Objects.equals(head.requestId(), current.requestId);
  }

  private void skipForeign(Ticket current, AnswerHead head) {
    tainted = true;
    current.skipping = true;
    current.foreign++;
    owner.anomaly("answer of another request expected=" + current.requestId + " got=" + head);
    if (current.foreign > MAX_FOREIGN_ANSWERS) {
      fail(current, new IOException("answers of other requests"));
    }
  }

  private void readContent(HttpContent content) {
    Ticket current = active;
    boolean last = content instanceof LastHttpContent;
    if (content.decoderResult().isFailure()) {
      fail(current, new IOException("malformed body", content.decoderResult().cause()));
    } else if (current.skipping) {
      current.skipping = !last;
    } else if (!current.headSeen) {
      fail(current, new IOException("body without head"));
    } else {
      if (content.content().isReadable()) {
        current.listener.content(content.content());
      }
      if (last && active == current) {
        finish(current);
      }
    }
  }

  private void finish(Ticket current) {
    if (!current.framed && reset) {
      fail(current, new IOException("answer without length was reset"));
      return;
    }
    active = null;
    channel.config().setAutoRead(true);
    boolean reusable = current.written && current.framed && current.keepAlive && !tainted;
    if (reusable) {
      // Bytes that follow in the same read are seen before the connection is used again.
      releasing = true;
    } else {
      channel.close();
    }
    current.listener.complete();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (releasing) {
      releasing = false;
      if (!tainted && channel.isActive()) {
        idleSinceNanos = System.nanoTime();
        owner.idle(this);
      }
    }
    ctx.fireChannelReadComplete();
  }

  private void noteKeepAlive(HttpResponse response) {
    String value = response.headers().get("keep-alive");
    if (value == null) {
      return;
    }
    for (String part : Splitter.on(',').trimResults().split(value)) {
      if (part.startsWith("timeout=")) {
        String seconds = part.substring("timeout=".length());
        if (seconds.matches("\\d{1,6}")) {
          idleMillis = Long.parseLong(seconds) * 1000;
        }
      }
    }
  }

  private void fail(Ticket failed, Throwable cause) {
    if (active == failed) {
      active = null;
      tainted = true;
      channel.close();
      failed.listener.broken(cause);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    owner.closed(this);
    if (active != null) {
      fail(active, new IOException("connection closed by the upstream"));
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    reset = true;
    if (active != null) {
      fail(active, cause);
    } else {
      channel.close();
    }
  }
}

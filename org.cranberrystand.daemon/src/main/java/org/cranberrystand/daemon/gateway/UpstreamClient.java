package org.cranberrystand.daemon.gateway;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Sends requests to upstreams over connections that are kept for later requests.
 *
 * <p>Opening a connection costs the upstream work, so idle ones are used first, the latest one
 * first. Used on the event loop only.
 */
// A failed write or close ends the channel, which its handler is told of.
@SuppressWarnings("FutureReturnValueIgnored")
final class UpstreamClient {
  /** An upstream that answers at all accepts within some milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /** Idle connections that are kept to one upstream. */
  private static final int MAX_IDLE = 8;

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  private final Bootstrap bootstrap;
  private final HeaderDialect dialect;
  private final EventLog log;
  private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();

  UpstreamClient(EventLoop loop, HeaderDialect dialect, EventLog log) {
    this.dialect = dialect;
    this.log = log;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(new HttpRequestEncoder())
                        .addLast(
                            new HttpResponseDecoder(
                                MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES));
                  }
                });
  }

  /**
   * Sends a request.
   *
   * @param upstream where to
   * @param request the head, complete
   * @param body the body; released
   * @param requestId the identifier that the answer must echo
   * @param listener receives what becomes of it
   * @return the exchange
   */
  UpstreamExchange send(
      RegisteredUpstream upstream,
      HttpRequest request,
      ByteBuf body,
      String requestId,
      AnswerListener listener) {
    Exchange exchange = new Exchange();
    UpstreamConnection kept = takeIdle(upstream.id());
    if (kept != null) {
      exchange.start(kept, kept.send(request, body, requestId, listener));
      return exchange;
    }
    HostAndPort address = HostAndPort.fromString(upstream.address());
    ChannelFuture connect =
        bootstrap.connect(new InetSocketAddress(address.getHost(), address.getPort()));
    connect.addListener(
        future -> {
          if (exchange.cancelled) {
            body.release();
            connect.channel().close();
          } else if (!future.isSuccess()) {
            body.release();
            exchange.cancelled = true;
            listener.unreachable(future.cause());
          } else {
            UpstreamConnection opened = open(upstream.id(), connect.channel());
            exchange.start(opened, opened.send(request, body, requestId, listener));
          }
        });
    return exchange;
  }

  private UpstreamConnection open(String id, Channel channel) {
    UpstreamConnection connection =
        new UpstreamConnection(
            dialect,
            new UpstreamConnection.Owner() {
              @Override
              public void idle(UpstreamConnection idleConnection) {
                keep(id, idleConnection);
              }

              @Override
              public void closed(UpstreamConnection closedConnection) {
                forget(id, closedConnection);
              }

              @Override
              public void anomaly(String detail) {
                log.write(LogEvent.ANSWER_MISMATCH, "upstream=" + id + " cause=" + detail);
              }
            },
            channel);
    channel.pipeline().addLast(connection);
    return connection;
  }

  private void keep(String id, UpstreamConnection connection) {
    Deque<UpstreamConnection> connections = idle.computeIfAbsent(id, i -> new ArrayDeque<>());
    if (connections.size() >= MAX_IDLE) {
      connections.pollLast().close();
    }
    connections.addFirst(connection);
  }

  private void forget(String id, UpstreamConnection connection) {
    Deque<UpstreamConnection> connections = idle.get(id);
    if (connections != null) {
      connections.remove(connection);
    }
  }

  private UpstreamConnection takeIdle(String id) {
    Deque<UpstreamConnection> connections = idle.get(id);
    long now = System.nanoTime();
    while (connections != null && !connections.isEmpty()) {
      UpstreamConnection connection = connections.pollFirst();
      if (connection.isUsable(now)) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  /**
   * Closes the idle connections to an upstream that may be down. A later request then needs a new
   * connection, and if that fails, nothing was sent.
   */
  void dropIdle(String id) {
    Deque<UpstreamConnection> connections = idle.remove(id);
    if (connections != null) {
      connections.forEach(UpstreamConnection::close);
    }
  }

  /** Closes idle connections to upstreams that are not registered any more. */
  void retain(Set<String> ids) {
    idle.forEach(
        (id, connections) -> {
          if (!ids.contains(id)) {
            connections.forEach(UpstreamConnection::close);
          }
        });
    idle.keySet().retainAll(ids);
  }

  private static final class Exchange implements UpstreamExchange {
    private UpstreamConnection connection;
    private UpstreamConnection.Ticket ticket;
    private boolean cancelled;

    private void start(UpstreamConnection used, UpstreamConnection.Ticket given) {
      connection = used;
      ticket = given;
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (connection != null) {
        connection.cancel(ticket);
      }
    }

    @Override
    public void setReading(boolean reading) {
      if (connection != null) {
        connection.setReading(ticket, reading);
      }
    }
  }
}

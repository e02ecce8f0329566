package org.cranberrystand.daemon.gateway;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.SetMultimap;
import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Sends requests to upstreams over pooled connections.
 *
 * <p>Since a new connection causes work at the upstream, idle ones are reused, the most recently
 * used first. Used only on the event loop.
 */
// A failed write or close closes the channel, and its handler cleans up.
@SuppressWarnings("FutureReturnValueIgnored")
final class UpstreamClient {
  /** A reachable upstream accepts a connection within a few milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  /**
   * The listening socket of a process that ends may accept a connection after the others are
   * closed. Such a connection ends within a few milliseconds.
   */
  private static final int ACCEPTED_CONFIRMATION_MILLIS = 20;

  /** Receives whether connections could be opened. */
  interface ConnectListener {
    void connectEnded(RegisteredUpstream upstream, boolean connected);
  }

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final HeaderCodec headerCodec;
  private final ToIntFunction<String> maxIdleConnections;
  private final ConnectListener connectListener;
  private final EventLog log;
  private final Map<String, Deque<UpstreamConnection>> idleConnections = new HashMap<>();

  /** Connections that become idle ones if they stay open for a moment. */
  private final SetMultimap<String, UpstreamConnection> probedConnections = HashMultimap.create();

  private final SetMultimap<String, UpstreamConnection> openConnections = HashMultimap.create();

  /** How an attempt ended to open a connection that stays open. */
  private enum ProbeResult {
    OPEN,

    /** The upstream accepted the connection and closed it at once. */
    CLOSED,

    /** Nothing listens at the address. */
    REFUSED,

    /** There was no answer in time. */
    FAILED;

    static ProbeResult ofFailure(Throwable cause) {
      boolean refused =
          cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
      return refused ? REFUSED : FAILED;
    }
  }

  /**
   * Creates a client without connections.
   *
   * @param loop the event loop on which the client is used
   * @param headerCodec reads the headers of responses
   * @param maxIdleConnections returns how many idle connections to keep to one upstream of a pool
   * @param connectListener called after each attempt to open a connection
   * @param log the event log
   */
  UpstreamClient(
      EventLoop loop,
      HeaderCodec headerCodec,
      ToIntFunction<String> maxIdleConnections,
      ConnectListener connectListener,
      EventLog log) {
    this.loop = loop;
    this.headerCodec = headerCodec;
    this.maxIdleConnections = maxIdleConnections;
    this.connectListener = connectListener;
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
                        .addLast(new ResponseDecoder());
                  }
                });
  }

  /**
   * Sends a request.
   *
   * @param upstream the upstream
   * @param request the complete request line and headers
   * @param body the request body; released
   * @param requestId the identifier that the response must repeat; if it is null, a new connection
   *     is used, since only there a response without one can belong to no other request
   * @param sentBefore whether this request was sent to the upstream before; a new connection is
   *     used then, since a second response to the first one may arrive on the old
   * @param deadline when it is too late to send the request, also after the time that it takes to
   *     open a connection; the listener is not called then
   * @param listener receives the response
   * @return the exchange, to cancel it or to pause reading
   */
  UpstreamExchange send(
      RegisteredUpstream upstream,
      HttpRequest request,
      ByteBuf body,
      String requestId,
      boolean sentBefore,
      SendDeadline deadline,
      ResponseListener listener) {
    Exchange exchange = new Exchange();
    if (deadline.isPassed()) {
      body.release();
      loop.execute(() -> exchange.endUnsent(deadline));
      return exchange;
    }
    boolean needsNewConnection = sentBefore || requestId == null;
    UpstreamConnection reused = needsNewConnection ? null : takeIdle(upstream.id(), requestId);
    if (reused != null) {
      exchange.start(reused, reused.send(request, body, requestId, listener));
      return exchange;
    }
    ChannelFuture connect = bootstrap.connect(socketAddress(upstream));
    whenEnded(
        connect,
        () -> {
          connectListener.connectEnded(upstream, connect.isSuccess());
          if (!connect.isSuccess()) {
            body.release();
            if (!exchange.cancelled) {
              exchange.cancelled = true;
              listener.connectFailed(connect.cause());
            }
          } else if (exchange.cancelled) {
            body.release();
            connect.channel().close();
          } else if (deadline.isPassed()) {
            body.release();
            connect.channel().close();
            exchange.endUnsent(deadline);
          } else {
            UpstreamConnection opened = open(upstream, connect.channel());
            exchange.start(opened, opened.send(request, body, requestId, listener));
          }
        });
    return exchange;
  }

  /** Opens a connection to an upstream and keeps it for later requests. */
  void probe(RegisteredUpstream upstream) {
    probe(upstream, result -> {});
  }

  /** Tries to open a connection that stays open, and keeps it. */
  private void probe(RegisteredUpstream upstream, Consumer<ProbeResult> result) {
    ChannelFuture connect = bootstrap.connect(socketAddress(upstream));
    whenEnded(
        connect,
        () -> {
          connectListener.connectEnded(upstream, connect.isSuccess());
          if (connect.isSuccess()) {
            confirm(upstream, open(upstream, connect.channel()), result);
          } else {
            result.accept(ProbeResult.ofFailure(connect.cause()));
          }
        });
  }

  /** Calls an action on the event loop after the end of a connect, never before this returns. */
  private void whenEnded(ChannelFuture connect, Runnable action) {
    if (connect.isDone()) {
      loop.execute(action);
    } else {
      connect.addListener(future -> action.run());
    }
  }

  private void confirm(
      RegisteredUpstream upstream, UpstreamConnection connection, Consumer<ProbeResult> result) {
    probedConnections.put(upstream.id(), connection);
    loop.schedule(
        () -> {
          boolean usable = connection.isUsable(System.nanoTime());
          if (probedConnections.remove(upstream.id(), connection) && usable) {
            addIdle(upstream, connection);
          } else {
            connection.close();
          }
          result.accept(usable ? ProbeResult.OPEN : ProbeResult.CLOSED);
        },
        ACCEPTED_CONFIRMATION_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private static InetSocketAddress socketAddress(RegisteredUpstream upstream) {
    HostAndPort address = HostAndPort.fromString(upstream.address());
    return new InetSocketAddress(address.getHost(), address.getPort());
  }

  private UpstreamConnection open(RegisteredUpstream upstream, Channel channel) {
    String id = upstream.id();
    UpstreamConnection connection =
        new UpstreamConnection(
            headerCodec,
            new UpstreamConnection.Owner() {
              @Override
              public void connectionIdle(UpstreamConnection idleConnection) {
                addIdle(upstream, idleConnection);
              }

              @Override
              public void connectionClosed(UpstreamConnection closedConnection) {
                openConnections.remove(id, closedConnection);
                removeIdle(id, closedConnection);
              }

              @Override
              public void checkAlive(Consumer<Boolean> result) {
                probe(upstream, probed -> result.accept(probed == ProbeResult.OPEN));
              }

              @Override
              public void responseMismatched(String detail) {
                log.write(LogEvent.ANSWER_MISMATCH, "upstream=" + id + " " + detail);
              }
            },
            channel.pipeline().get(ResponseDecoder.class),
            channel);
    channel.pipeline().addLast(connection);
    openConnections.put(id, connection);
    return connection;
  }

  /** Returns whether a connection to an upstream seems open. */
  boolean isConnected(RegisteredUpstream upstream) {
    return openConnections.containsKey(upstream.id());
  }

  /**
   * Finds out whether the process of an upstream still runs. That a connection is open shows
   * nothing, since it may have fallen silent; that one cannot be opened shows nothing either while
   * others are open, unless nothing listens any more.
   *
   * @param upstream the upstream
   * @param sinceNanos when it may have ended
   * @param result receives the result
   */
  void checkAlive(RegisteredUpstream upstream, long sinceNanos, Consumer<Boolean> result) {
    String id = upstream.id();
    if (openConnections.get(id).stream().anyMatch(open -> open.hasReceivedSince(sinceNanos))) {
      result.accept(true);
      return;
    }
    probe(
        upstream,
        probed ->
            result.accept(
                probed == ProbeResult.OPEN
                    || (probed != ProbeResult.REFUSED && openConnections.containsKey(id))));
  }

  /** Finds out whether a process listens at the address of an upstream, as far as it answers. */
  void checkListening(RegisteredUpstream upstream, Consumer<Boolean> result) {
    probe(upstream, probed -> result.accept(probed != ProbeResult.REFUSED));
  }

  private void addIdle(RegisteredUpstream upstream, UpstreamConnection connection) {
    Deque<UpstreamConnection> connections =
        idleConnections.computeIfAbsent(upstream.id(), i -> new ArrayDeque<>());
    int maxIdle = maxIdleConnections.applyAsInt(upstream.pool());
    while (connections.size() >= maxIdle) {
      connections.pollLast().close();
    }
    connections.addFirst(connection);
  }

  private void removeIdle(String id, UpstreamConnection connection) {
    Deque<UpstreamConnection> connections = idleConnections.get(id);
    if (connections != null) {
      connections.remove(connection);
    }
  }

  /** Takes a connection that has not carried a request with the same identifier. */
  private UpstreamConnection takeIdle(String id, String requestId) {
    Deque<UpstreamConnection> connections = idleConnections.get(id);
    long now = System.nanoTime();
    while (connections != null && !connections.isEmpty()) {
      UpstreamConnection connection = connections.pollFirst();
      if (connection.isUsable(now) && !connection.hasCarried(requestId)) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  /**
   * Closes the idle connections to an upstream that may be down. The next request then opens a new
   * connection, and if that fails, certainly nothing was sent.
   */
  void closeIdle(String id) {
    probedConnections.removeAll(id);
    Deque<UpstreamConnection> connections = idleConnections.remove(id);
    if (connections != null) {
      connections.forEach(UpstreamConnection::close);
    }
  }

  /** Closes the idle connections to all upstreams but the given ones. */
  void retainUpstreams(Set<String> ids) {
    idleConnections.forEach(
        (id, connections) -> {
          if (!ids.contains(id)) {
            connections.forEach(UpstreamConnection::close);
          }
        });
    idleConnections.keySet().retainAll(ids);
    probedConnections.keySet().retainAll(ids);
  }

  private static final class Exchange implements UpstreamExchange {
    private UpstreamConnection connection;
    private UpstreamConnection.PendingRequest request;
    private boolean cancelled;

    private void start(UpstreamConnection used, UpstreamConnection.PendingRequest startedRequest) {
      connection = used;
      request = startedRequest;
    }

    private void endUnsent(SendDeadline deadline) {
      if (!cancelled) {
        cancelled = true;
        deadline.passed().run();
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      if (connection != null) {
        connection.cancel(request);
      }
    }

    @Override
    public void setReading(boolean reading) {
      if (connection != null) {
        connection.setReading(request, reading);
      }
    }

    @Override
    public boolean isSent() {
      return connection != null;
    }

    @Override
    public String connectionName() {
      return connection == null ? "none" : connection.name();
    }

    @Override
    public long connectedNanos() {
      return connection == null ? System.nanoTime() : connection.openedNanos();
    }
  }
}

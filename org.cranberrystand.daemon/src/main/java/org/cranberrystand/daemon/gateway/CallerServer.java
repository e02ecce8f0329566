package org.cranberrystand.daemon.gateway;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cranberrystand.routing.CallerLimits;

/**
 * Server socket for callers.
 *
 * <p>Limits the number of connections and the memory for request bodies. Used only on the event
 * loop, except where stated.
 */
// A failed write or close closes the channel, and its handler cleans up.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerServer implements CallerConnection.Owner {
  /** Leaves file descriptors of a small VM free for connections to upstreams. */
  private static final int MAX_CONNECTIONS = 2_500;

  private static final int ACCEPT_BACKLOG = 1_024;
  private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;

  /** Read at once from a connection; limits what arrives before reading stops. */
  private static final int MAX_READ_BYTES = 16_384;

  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2_048;

  /** Bytes buffered for a slow caller before the response of its upstream is no longer read. */
  private static final WriteBufferWaterMark WRITE_WATER_MARK =
      new WriteBufferWaterMark(32_768, 131_072);

  /** Handles the requests of callers. */
  interface RequestHandler {
    /** Handles a completely received request. */
    void handleRequest(CallerExchange exchange);

    /**
     * A request was rejected before it was complete.
     *
     * @param request the head of the request; null if it was not received
     */
    void requestRejected(HttpRequest request, HttpResponseStatus status, String cause);
  }

  private final EventLoop loop;
  private final Supplier<CallerLimits> limits;
  private final RequestHandler requestHandler;
  private final Set<CallerConnection> connections = new HashSet<>();
  private final CallerMemory memory;
  private boolean closingConnections;
  private Channel listener;

  /**
   * Creates a server that is not open yet.
   *
   * @param loop the event loop
   * @param limits supplies the current limits for callers
   * @param memoryBytes limit for the memory that all callers together use, in bytes
   * @param requestHandler handles the requests
   */
  CallerServer(
      EventLoop loop,
      Supplier<CallerLimits> limits,
      long memoryBytes,
      RequestHandler requestHandler) {
    this.loop = loop;
    this.limits = limits;
    this.requestHandler = requestHandler;
    this.memory = new CallerMemory(memoryBytes, connections, loop);
  }

  /** Opens the server socket; must not be called on the event loop. */
  void open(HostAndPort address) throws InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
            .childOption(
                ChannelOption.RCVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    initConnection(channel);
                  }
                });
    listener =
        bootstrap
            .bind(new InetSocketAddress(address.getHost(), address.getPort()))
            .sync()
            .channel();
    loop.scheduleWithFixedDelay(
            this::checkTimeouts,
            TIMEOUT_CHECK_INTERVAL_MILLIS,
            TIMEOUT_CHECK_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS)
        .isDone();
  }

  private void initConnection(Channel channel) {
    if (connections.size() >= MAX_CONNECTIONS) {
      channel.close();
      return;
    }
    CallerConnection connection = new CallerConnection(this);
    channel
        .pipeline()
        .addLast(new ArrivalObserver(connection))
        .addLast(connection.decoder())
        .addLast(new HttpResponseEncoder())
        .addLast(connection);
  }

  private void checkTimeouts() {
    long now = System.nanoTime();
    CallerLimits current = limits.get();
    List.copyOf(connections).forEach(connection -> connection.checkTimeouts(now, current));
  }

  /** Closes each connection after its current or next response from now on. */
  void startClosingConnections() {
    closingConnections = true;
  }

  /** Closes the connections without a request in progress. */
  void closeIdle() {
    long now = System.nanoTime();
    List.copyOf(connections).forEach(connection -> connection.closeIfIdle(now));
  }

  /** Refuses the requests that were received and not handled yet. */
  void refusePending() {
    List.copyOf(connections).forEach(CallerConnection::refusePending);
  }

  /** Returns whether a caller has yet to read a part of a response. */
  boolean hasUnsentResponses() {
    return connections.stream().anyMatch(CallerConnection::hasUnsentResponse);
  }

  /** Closes the server socket; open connections are served on. */
  void stopListening() {
    listener.close();
  }

  /** Returns whether no caller is connected and none can connect. */
  boolean isDrained() {
    return !listener.isOpen() && connections.isEmpty();
  }

  /** Closes the server socket and all connections. */
  void closeAll() {
    listener.close();
    List.copyOf(connections).forEach(CallerConnection::close);
  }

  /** Closes the server socket and all connections; must not be called on the event loop. */
  void close() throws InterruptedException {
    loop.submit(this::closeAll).await();
  }

  /** Returns the number of requests that were received and have no complete response. */
  long inProgressCount() {
    return connections.stream().filter(CallerConnection::isInProgress).count();
  }

  int connectionCount() {
    return connections.size();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  @Override
  public CallerLimits limits() {
    return limits.get();
  }

  @Override
  public void requestReceived(CallerExchange exchange) {
    requestHandler.handleRequest(exchange);
  }

  @Override
  public void requestRejected(HttpRequest request, HttpResponseStatus status, String cause) {
    requestHandler.requestRejected(request, status, cause);
  }

  @Override
  public boolean isClosingConnections() {
    return closingConnections;
  }

  @Override
  public CallerMemory memory() {
    return memory;
  }

  @Override
  public void connectionOpened(CallerConnection connection) {
    connections.add(connection);
  }

  @Override
  public void connectionClosed(CallerConnection connection) {
    connections.remove(connection);
  }

  /**
   * Records the arrival of bytes before they are decoded, so that slow request headers time out.
   */
  private static final class ArrivalObserver extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    ArrivalObserver(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connection.bytesArrived();
      ctx.fireChannelRead(message);
    }
  }
}

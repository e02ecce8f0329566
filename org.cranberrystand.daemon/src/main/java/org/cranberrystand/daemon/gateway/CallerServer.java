package org.cranberrystand.daemon.gateway;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cranberrystand.routing.CallerLimits;

/**
 * Listener for callers.
 *
 * <p>Bounds connections and the memory of request bodies. Used on the event loop only, except where
 * stated.
 */
// A failed write or close ends the channel, which its handler is told of.
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerServer implements CallerConnection.Host {
  /** Below the descriptors that a small VM gives to sockets, with room for upstreams. */
  private static final int MAX_CONNECTIONS = 2_500;

  /** Memory for the bodies of all requests in progress. */
  private static final int MAX_BODY_MEMORY_BYTES = 32 << 20;

  private static final int BACKLOG = 1_024;
  private static final long SWEEP_MILLIS = 500;
  private static final int MAX_CHUNK_BYTES = 16_384;

  /** Bytes that wait for a slow caller before its upstream is not read any more. */
  private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(32_768, 131_072);

  private final EventLoop loop;
  private final Supplier<CallerLimits> limits;
  private final Consumer<CallerExchange> receiver;
  private final Set<CallerConnection> connections = new HashSet<>();
  private int bodyMemoryBytes;
  private boolean closing;
  private Channel listener;

  CallerServer(EventLoop loop, Supplier<CallerLimits> limits, Consumer<CallerExchange> receiver) {
    this.loop = loop;
    this.limits = limits;
    this.receiver = receiver;
  }

  /** Opens the listener; may be called on any thread but the event loop. */
  void open(HostAndPort address) throws InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    initCaller(channel);
                  }
                });
    listener =
        bootstrap
            .bind(new InetSocketAddress(address.getHost(), address.getPort()))
            .sync()
            .channel();
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS)
        .isDone();
  }

  private void initCaller(Channel channel) {
    if (connections.size() >= MAX_CONNECTIONS) {
      channel.close();
      return;
    }
    CallerConnection connection = new CallerConnection(this);
    int maxHeaderBytes = limits.get().maxHeaderBytes();
    channel
        .pipeline()
        .addLast(new ArrivalObserver(connection))
        .addLast(new RequestDecoder(maxHeaderBytes))
        .addLast(new HttpResponseEncoder())
        .addLast(connection);
  }

  private void sweep() {
    long now = System.nanoTime();
    CallerLimits current = limits.get();
    List.copyOf(connections).forEach(connection -> connection.checkTimeouts(now, current));
  }

  /** Marks all answers from now on as the last ones on their connections. */
  void startClosing() {
    closing = true;
  }

  /** Closes connections without a request in progress. */
  void closeIdle() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Closes everything. */
  void close() {
    listener.close();
    List.copyOf(connections).forEach(CallerConnection::close);
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
  public void received(CallerExchange exchange) {
    receiver.accept(exchange);
  }

  @Override
  public boolean isClosing() {
    return closing;
  }

  @Override
  public boolean takeBodyMemory(int bytes) {
    if (bodyMemoryBytes + bytes > MAX_BODY_MEMORY_BYTES) {
      return false;
    }
    bodyMemoryBytes += bytes;
    return true;
  }

  @Override
  public void returnBodyMemory(int bytes) {
    bodyMemoryBytes -= bytes;
  }

  @Override
  public void opened(CallerConnection connection) {
    connections.add(connection);
  }

  @Override
  public void closed(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Tells a connection of bytes before they are decoded, to time slow request heads. */
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

  /** Refuses requests with two declared lengths, which two parties may read differently. */
  private static final class RequestDecoder extends HttpRequestDecoder {
    RequestDecoder(int maxHeaderBytes) {
      super(maxHeaderBytes, maxHeaderBytes, MAX_CHUNK_BYTES);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
      throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
  }
}

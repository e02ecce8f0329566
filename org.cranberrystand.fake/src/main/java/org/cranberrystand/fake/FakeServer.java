package org.cranberrystand.fake;

import com.google.common.net.HostAndPort;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.net.InetAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/**
 * HTTP server on the loopback address that each fake runs.
 *
 * <p>Safe for use by several threads.
 */
final class FakeServer implements AutoCloseable {
  private static final int EVENT_LOOP_THREADS = 2;
  private static final int MAX_CONTENT_BYTES = 16 << 20;

  private final RatpackServer server;
  private final HostAndPort address;
  private final Set<Channel> openChannels = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean stopped = new AtomicBoolean();

  FakeServer(Action<? super Chain> handlers) throws Exception {
    this(0, handlers);
  }

  FakeServer(int port, Action<? super Chain> handlers) throws Exception {
    ServerConfig config =
        ServerConfig.builder()
            .address(InetAddress.getLoopbackAddress())
            .port(port)
            .development(false)
            .registerShutdownHook(false)
            .threads(EVENT_LOOP_THREADS)
            .maxContentLength(MAX_CONTENT_BYTES)
            .build();
    this.server =
        RatpackServer.start(
            spec ->
                spec.serverConfig(config)
                    .handlers(chain -> chain.all(this::trackConnection).insert(handlers)));
    this.address = HostAndPort.fromParts("127.0.0.1", server.getBindPort());
  }

  HostAndPort address() {
    return address;
  }

  /**
   * Simulates a crash of the process: closes all connections and the listener.
   *
   * <p>Stops the server in another thread, because the caller may be one of its threads. Until the
   * listener is closed, new connections are closed as they arrive.
   */
  void crash() {
    if (!stopped.compareAndSet(false, true)) {
      return;
    }
    openChannels.forEach(FakeServer::close);
    Thread stopper = new Thread(this::stopServer, "fake-crash");
    stopper.setDaemon(true);
    stopper.start();
  }

  /** Closes a connection after all pending writes. */
  static void closeAfterWrites(Context ctx) {
    channel(ctx).writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /** Closes a connection without waiting for pending writes. */
  static void closeNow(Context ctx) {
    close(channel(ctx));
  }

  private static void close(Channel channel) {
    var unused = channel.close();
  }

  static Channel channel(Context ctx) {
    return ctx.getDirectChannelAccess().getChannel();
  }

  @Override
  public void close() throws Exception {
    if (stopped.compareAndSet(false, true)) {
      server.stop();
    }
  }

  private void trackConnection(Context ctx) {
    Channel channel = channel(ctx);
    if (openChannels.add(channel)) {
      channel.closeFuture().addListener(future -> openChannels.remove(channel));
    }
    if (stopped.get()) {
      close(channel);
    } else {
      ctx.next();
    }
  }

  private void stopServer() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop the fake server on " + address, e);
    }
  }
}

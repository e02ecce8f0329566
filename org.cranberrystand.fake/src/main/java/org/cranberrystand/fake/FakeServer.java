package org.cranberrystand.fake;

import com.google.common.net.HostAndPort;
import java.net.InetAddress;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/**
 * HTTP server on a loopback address, shared by the fakes.
 *
 * <p>Safe for use by several threads.
 */
final class FakeServer implements AutoCloseable {
  private static final int THREADS = 2;
  private static final int MAX_CONTENT_BYTES = 16 << 20;

  private final RatpackServer server;

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
            .threads(THREADS)
            .maxContentLength(MAX_CONTENT_BYTES)
            .build();
    this.server = RatpackServer.start(spec -> spec.serverConfig(config).handlers(handlers));
  }

  HostAndPort address() {
    return HostAndPort.fromParts("127.0.0.1", server.getBindPort());
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }
}

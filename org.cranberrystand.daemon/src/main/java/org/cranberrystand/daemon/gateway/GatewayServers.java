package org.cranberrystand.daemon.gateway;

import com.google.common.net.HostAndPort;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.daemon.internal.ListenerConfig;
import ratpack.exec.ExecController;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/**
 * The HTTP listeners of a gateway other than the one for callers: directory, readiness, peers and
 * metrics. Thread-safe.
 */
final class GatewayServers implements AutoCloseable {
  /** One suffices, because responses are small and served from memory. */
  private static final int THREADS = 1;

  /** No request to these listeners has a body. */
  private static final int MAX_BODY_BYTES = 1_024;

  private final List<RatpackServer> servers = new ArrayList<>();

  /**
   * Opens a listener.
   *
   * @param address the address to bind to
   * @param handlers adds the request handlers
   * @return the controller of the executions of the server
   * @throws Exception if the listener cannot be opened
   */
  ExecController open(HostAndPort address, Action<? super Chain> handlers) throws Exception {
    ServerConfig config = ListenerConfig.of(address, THREADS, MAX_BODY_BYTES);
    RatpackServer server =
        RatpackServer.start(spec -> spec.serverConfig(config).handlers(handlers));
    servers.add(server);
    return server.getRegistry().orElseThrow().get(ExecController.class);
  }

  @Override
  public void close() throws Exception {
    for (RatpackServer server : servers) {
      server.stop();
    }
  }
}

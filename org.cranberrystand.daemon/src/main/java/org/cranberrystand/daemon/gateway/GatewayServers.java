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
 * The listeners of a gateway that answer from its state: directory, readiness, peers and metrics.
 * Safe for use by several threads.
 */
final class GatewayServers implements AutoCloseable {
  /** The answers are small and made from memory. */
  private static final int THREADS = 1;

  /** No call that is answered here has a body. */
  private static final int MAX_BODY_BYTES = 1_024;

  private final List<RatpackServer> servers = new ArrayList<>();

  /**
   * Opens a listener.
   *
   * @param address where to listen
   * @param handlers adds the handlers
   * @return what runs its executions
   * @throws Exception if it cannot be opened
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

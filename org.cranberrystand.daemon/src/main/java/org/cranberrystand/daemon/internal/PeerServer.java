package org.cranberrystand.daemon.internal;

import com.google.common.net.HostAndPort;
import java.nio.charset.StandardCharsets;
import org.cranberrystand.wire.http.ProblemType;
import org.cranberrystand.wire.security.FleetKeys;
import org.cranberrystand.wire.security.PeerAuthentication;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;
import ratpack.server.ServerConfig;

/**
 * HTTP listener for calls of other nodes.
 *
 * <p>Handlers run only for calls with a valid and recent message authentication code. They get the
 * body as {@link PeerBody} from the registry. Safe for use by several threads.
 */
public final class PeerServer implements AutoCloseable {
  private final RatpackServer server;
  private final PeerAuthentication authentication;
  private final int maxBodyBytes;
  private final String host;

  /**
   * Opens the listener.
   *
   * @param state the state of the node
   * @param threads the number of threads
   * @param endpoints adds the handlers to the chain
   * @throws Exception if the listener cannot be opened
   */
  public PeerServer(NodeState state, int threads, Action<? super Chain> endpoints)
      throws Exception {
    this.authentication = new PeerAuthentication(state.fleetKeys().keysFor(FleetKeys.Use.PEER));
    this.maxBodyBytes = state.settings().limits().maxBodyBytes();
    this.host = state.settings().peers().getHost();
    ServerConfig config = ListenerConfig.of(state.settings().peers(), threads, maxBodyBytes);
    this.server =
        RatpackServer.start(
            spec ->
                spec.serverConfig(config)
                    .handlers(chain -> chain.all(this::authenticate).insert(endpoints)));
  }

  /**
   * Returns the address of the listener.
   *
   * @return host and port
   */
  public HostAndPort address() {
    return HostAndPort.fromParts(host, server.getBindPort());
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  private void authenticate(Context ctx) {
    ctx.getRequest()
        .getBody(maxBodyBytes)
        .then(
            body -> {
              String header = ctx.getRequest().getHeaders().get(PeerAuthentication.HEADER);
              String method = ctx.getRequest().getMethod().getName();
              String path = ctx.getRequest().getRawUri().substring(1);
              byte[] bytes = body.getBytes();
              if (authentication.verify(header, method, path, bytes, System.currentTimeMillis())) {
                ctx.next(ratpack.registry.Registry.single(new PeerBody(bytes)));
              } else {
                Replies.problem(ctx, ProblemType.UNAUTHORIZED, "peer authentication failed");
              }
            });
  }

  /** Body of an authenticated call, since Ratpack lets a request body be read only once. */
  public static final class PeerBody {
    private final byte[] bytes;

    PeerBody(byte[] bytes) {
      this.bytes = bytes;
    }

    /**
     * Returns the body.
     *
     * @return the bytes; must not be modified
     */
    public byte[] bytes() {
      return bytes;
    }

    /**
     * Returns the body as text.
     *
     * @return the body decoded as UTF-8
     */
    public String text() {
      return new String(bytes, StandardCharsets.UTF_8);
    }
  }
}

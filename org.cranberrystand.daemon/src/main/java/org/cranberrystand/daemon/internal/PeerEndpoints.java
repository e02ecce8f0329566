package org.cranberrystand.daemon.internal;

import java.util.concurrent.atomic.AtomicReference;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.handling.Handlers;
import ratpack.server.ServerConfig;

/**
 * Delegates calls of other nodes to handlers that are set after the listener was opened.
 *
 * <p>The member record of the node contains the address of the listener, so the listener must open
 * before the handlers can be created; calls get status 503 until they are set. Safe for use by
 * several threads.
 */
public final class PeerEndpoints implements Handler {
  private final AtomicReference<Handler> handlers = new AtomicReference<>();

  /**
   * Sets the handlers.
   *
   * @param config the configuration of the listener
   * @param chain adds the handlers
   * @throws Exception if the chain cannot be built
   */
  public void open(ServerConfig config, Action<? super Chain> chain) throws Exception {
    handlers.set(Handlers.chain(config, chain));
  }

  @Override
  public void handle(Context ctx) {
    Handler handler = handlers.get();
    if (handler == null) {
      ctx.getResponse().status(503).send();
    } else {
      ctx.insert(handler);
    }
  }
}

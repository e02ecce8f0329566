package org.cranberrystand.daemon.internal;

import java.util.concurrent.atomic.AtomicReference;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.handling.Handlers;
import ratpack.server.ServerConfig;

/**
 * Handlers for calls of other nodes, which exist only after the listener was opened.
 *
 * <p>The address of the listener is part of the node's own record, so the listener opens first; it
 * answers 503 until the handlers are set. Safe for use by several threads.
 */
public final class PeerEndpoints implements Handler {
  private final AtomicReference<Handler> endpoints = new AtomicReference<>();

  /**
   * Starts to answer calls.
   *
   * @param config the configuration of the listener
   * @param chain adds the handlers
   * @throws Exception if the chain cannot be built
   */
  public void open(ServerConfig config, Action<? super Chain> chain) throws Exception {
    endpoints.set(Handlers.chain(config, chain));
  }

  @Override
  public void handle(Context ctx) {
    Handler current = endpoints.get();
    if (current == null) {
      ctx.getResponse().status(503).send();
    } else {
      ctx.insert(current);
    }
  }
}

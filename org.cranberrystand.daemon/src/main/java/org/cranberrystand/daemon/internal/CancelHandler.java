package org.cranberrystand.daemon.internal;

import java.util.Optional;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.ProblemType;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Cancels requests, at this node or at the node that issued the identifier.
 *
 * <p>Safe for use by several threads.
 */
public final class CancelHandler implements Handler {
  private final NodeState state;
  private final RequestRunner runner;

  /**
   * Creates a handler.
   *
   * @param state the state of the node
   * @param runner runs the requests and forwards cancellations to other nodes
   */
  public CancelHandler(NodeState state, RequestRunner runner) {
    this.state = state;
    this.runner = runner;
  }

  @Override
  public void handle(Context ctx) {
    ctx.getResponse().getHeaders().set(ApiHeaders.NODE, state.settings().node());
    String idText = ctx.getPathTokens().get("name");
    String shop = ctx.getRequest().getHeaders().get(ApiHeaders.SHOP);
    Optional<RequestId> id = state.idCodec().decode(idText);
    if (id.isEmpty() || shop == null) {
      Replies.problem(ctx, ProblemType.INVALID_REQUEST, "an identifier and its shop are required");
    } else if (id.get().issuer().equals(state.incarnation())) {
      respond(ctx, cancelLocally(id.get(), shop));
    } else {
      respond(ctx, runner.peerRequests().cancel(id.get(), idText, shop));
    }
  }

  /**
   * Cancels a request of this node on behalf of another node.
   *
   * @param ctx the exchange with the other node
   */
  void cancelForPeer(Context ctx) {
    String shop = ctx.getRequest().getQueryParams().get("shop");
    Optional<RequestId> id = state.idCodec().decode(ctx.getPathTokens().get("id"));
    respond(
        ctx, id.isPresent() && shop != null ? cancelLocally(id.get(), shop) : Promise.value(false));
  }

  private Promise<Boolean> cancelLocally(RequestId id, String shop) {
    return runner
        .runningRequests()
        .find(id)
        .filter(running -> running.request().shop().name().equals(shop))
        .map(running -> runner.runningRequests().cancel(running))
        .orElseGet(() -> Promise.value(false));
  }

  private static void respond(Context ctx, Promise<Boolean> cancelled) {
    cancelled.then(
        wasCancelled -> {
          if (wasCancelled) {
            ctx.getResponse().status(204).send();
          } else {
            Replies.problem(ctx, ProblemType.NOT_FOUND, "nothing to cancel under this identifier");
          }
        });
  }
}

package org.cranberrystand.daemon.internal;

import org.cranberrystand.wire.http.ApiHeaders;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.util.MultiValueMap;

/**
 * Handles forwarded, handed-over and cancelled requests of other nodes. Safe for use by several
 * threads.
 */
public final class PeerRequestEndpoints implements Action<Chain> {
  private final NodeState state;
  private final RequestService service;
  private final CancelHandler cancelHandler;

  /**
   * Creates the endpoints.
   *
   * @param state the state of the node
   * @param service serves the requests
   * @param cancelHandler cancels requests
   */
  public PeerRequestEndpoints(
      NodeState state, RequestService service, CancelHandler cancelHandler) {
    this.state = state;
    this.service = service;
    this.cancelHandler = cancelHandler;
  }

  @Override
  public void execute(Chain chain) {
    chain
        .post("peer/v1/forward/:kind", ctx -> serve(ctx, RequestService.Origin.FORWARDED))
        .post("peer/v1/handover/:kind", ctx -> serve(ctx, RequestService.Origin.HANDED_OVER))
        .delete("peer/v1/requests/:id", cancelHandler::cancelForPeer);
  }

  private void serve(Context ctx, RequestService.Origin origin) {
    ctx.getResponse().getHeaders().set(ApiHeaders.NODE, state.settings().node());
    MultiValueMap<String, String> query = ctx.getRequest().getQueryParams();
    byte[] body = ctx.get(PeerServer.PeerBody.class).bytes();
    // An empty text is rejected as malformed, whereas null would make this node issue an
    // identifier.
    String id = query.get("id") == null ? "" : query.get("id");
    service.serve(
        ctx,
        new RequestReader.RawRequest(
            ctx.getPathTokens().get("kind"),
            query.get("shop"),
            id,
            query.get("deadline"),
            new RequestBody(body)),
        origin);
  }
}

package org.cranberrystand.daemon.internal;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.wire.http.ApiHeaders;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Headers;

/**
 * Handles requests of shops: reads the body and passes the request to the service.
 *
 * <p>Safe for use by several threads.
 */
public final class RequestHandler implements Handler {
  // Bounds how long a caller that sends its body slowly can hold a connection.
  private static final long BODY_TIMEOUT_MILLIS = 10_000;

  private final NodeState state;
  private final RequestService service;

  /**
   * Creates a handler.
   *
   * @param state the state of the node
   * @param service serves the requests
   */
  public RequestHandler(NodeState state, RequestService service) {
    this.state = state;
    this.service = service;
  }

  @Override
  public void handle(Context ctx) {
    ctx.getResponse().getHeaders().set(ApiHeaders.NODE, state.settings().node());
    Headers headers = ctx.getRequest().getHeaders();
    Channel channel = ctx.getDirectChannelAccess().getChannel();
    ScheduledFuture<?> timer =
        channel
            .eventLoop()
            .schedule(
                () -> closeOnBodyTimeout(channel), BODY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    ctx.onClose(outcome -> timer.cancel(false));
    ctx.getRequest()
        .getBody(state.settings().limits().maxBodyBytes())
        .then(
            body -> {
              timer.cancel(false);
              service.serve(
                  ctx,
                  new RequestReader.RawRequest(
                      ctx.getPathTokens().get("name"),
                      headers.get(ApiHeaders.SHOP),
                      headers.get(ApiHeaders.IDEMPOTENCY_KEY),
                      headers.get(ApiHeaders.DEADLINE_MILLIS),
                      new RequestBody(body.getBytes())),
                  RequestService.Origin.CALLER);
            });
  }

  private static void closeOnBodyTimeout(Channel channel) {
    var unused = channel.close();
  }
}

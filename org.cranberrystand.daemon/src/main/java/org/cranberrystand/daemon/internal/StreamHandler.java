package org.cranberrystand.daemon.internal;

import com.google.common.primitives.Longs;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cranberrystand.identity.ResumeReference;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.ProblemType;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.client.StreamedResponse;

/**
 * Reads the rest of an answer from its engine, without a dispatch.
 *
 * <p>Safe for use by several threads.
 */
public final class StreamHandler implements Handler {
  private final NodeState state;
  private final RequestRunner runner;

  /** What the engine said: a relay, or the problem to report. */
  private record Opened(StreamRelay relay, ProblemType problem, String detail) {}

  /**
   * Creates a handler.
   *
   * @param state the state of the node
   * @param runner reads streams
   */
  public StreamHandler(NodeState state, RequestRunner runner) {
    this.state = state;
    this.runner = runner;
  }

  @Override
  public void handle(Context ctx) {
    ctx.getResponse().getHeaders().set(ApiHeaders.NODE, state.settings().node());
    String text = ctx.getPathTokens().get("reference");
    Optional<ResumeReference> reference = runner.resumeCodec().decode(text);
    String offsetText = ctx.getRequest().getQueryParams().getOrDefault("offset", "0");
    Long offset = Longs.tryParse(offsetText);
    String shop = ctx.getRequest().getHeaders().get(ApiHeaders.SHOP);
    if (reference.isEmpty()) {
      Replies.problem(ctx, ProblemType.INVALID_REQUEST, "the resume reference is not authentic");
    } else if (!reference.get().shop().equals(shop)) {
      Replies.problem(ctx, ProblemType.IDENTIFIER_MISMATCH, "the answer belongs to another shop");
    } else if (offset == null || offset < 0) {
      Replies.problem(ctx, ProblemType.INVALID_REQUEST, "offset must be a whole number from 0");
    } else {
      ctx.getResponse().getHeaders().set(ApiHeaders.REQUEST_ID, reference.get().requestId());
      Promise.toPromise(open(ctx, reference.get(), offset))
          .then(opened -> reply(ctx, opened, reference.get(), text));
    }
  }

  private static void reply(Context ctx, Opened opened, ResumeReference reference, String text) {
    if (opened.relay() == null) {
      Replies.problem(ctx, opened.problem(), opened.detail());
    } else {
      ctx.getResponse().getHeaders().set(ApiHeaders.UPSTREAM, reference.upstream());
      ctx.getResponse().getHeaders().set(ApiHeaders.RESUME, text);
      Replies.stream(ctx, opened.relay());
    }
  }

  private CompletableFuture<Opened> open(Context ctx, ResumeReference reference, long offset) {
    CompletableFuture<Opened> opened = new CompletableFuture<>();
    Opened unreachable =
        new Opened(null, ProblemType.UPSTREAM_FAILED, "the engine cannot be reached");
    ctx.getExecution()
        .getController()
        .fork()
        .eventLoop(ctx.getExecution().getEventLoop())
        .onError(cause -> opened.complete(unreachable))
        .start(
            execution ->
                runner
                    .openStream(reference, offset)
                    .onError(cause -> opened.complete(unreachable))
                    .then(response -> opened(response, reference, offset, opened)));
    return opened;
  }

  private void opened(
      StreamedResponse response,
      ResumeReference reference,
      long offset,
      CompletableFuture<Opened> opened) {
    int status = response.getStatusCode();
    if (status != 200) {
      ProblemType type =
          status == 404 ? ProblemType.ANSWER_NOT_RETAINED : ProblemType.UPSTREAM_FAILED;
      response.getBody().toList().onError(cause -> {}).then(ignored -> {});
      opened.complete(new Opened(null, type, "the engine answered with status " + status));
      return;
    }
    StreamRelay relay =
        runner.relay(
            StreamRelay.Retention.PASS,
            Optional.of(reference),
            new EventSequence(reference.requestId(), offset),
            count -> {});
    opened.complete(new Opened(relay, null, null));
    relay
        .run(response)
        .then(complete -> runner.peers().finish(relay, complete, reference.requestId()));
  }
}

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
 * Resumes an answer: reads the rest of its stream from the engine, without a dispatch.
 *
 * <p>Safe for use by several threads.
 */
public final class StreamHandler implements Handler {
  private final NodeState state;
  private final RequestRunner runner;

  /** Result of opening a stream: a relay, or else a problem with its detail. */
  private record OpenResult(StreamRelay relay, ProblemType problem, String detail) {}

  /**
   * Creates a handler.
   *
   * @param state the state of the node
   * @param runner opens streams at engines
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
          .then(result -> reply(ctx, result, reference.get(), text));
    }
  }

  private static void reply(
      Context ctx, OpenResult result, ResumeReference reference, String text) {
    if (result.relay() == null) {
      Replies.problem(ctx, result.problem(), result.detail());
    } else {
      ctx.getResponse().getHeaders().set(ApiHeaders.UPSTREAM, reference.upstream());
      ctx.getResponse().getHeaders().set(ApiHeaders.RESUME, text);
      Replies.stream(ctx, result.relay());
    }
  }

  private CompletableFuture<OpenResult> open(Context ctx, ResumeReference reference, long offset) {
    CompletableFuture<OpenResult> result = new CompletableFuture<>();
    OpenResult unreachable =
        new OpenResult(null, ProblemType.UPSTREAM_FAILED, "the engine cannot be reached");
    ctx.getExecution()
        .getController()
        .fork()
        .eventLoop(ctx.getExecution().getEventLoop())
        .onError(cause -> result.complete(unreachable))
        .start(
            execution ->
                runner
                    .openStream(reference, offset)
                    .onError(cause -> result.complete(unreachable))
                    .then(response -> handleResponse(response, reference, offset, result)));
    return result;
  }

  private void handleResponse(
      StreamedResponse response,
      ResumeReference reference,
      long offset,
      CompletableFuture<OpenResult> result) {
    int status = response.getStatusCode();
    if (status != 200) {
      ProblemType type =
          status == 404 ? ProblemType.ANSWER_NOT_RETAINED : ProblemType.UPSTREAM_FAILED;
      response.getBody().toList().onError(cause -> {}).then(ignored -> {});
      result.complete(new OpenResult(null, type, "the engine answered with status " + status));
      return;
    }
    StreamRelay relay =
        runner.createRelay(
            StreamRelay.Retention.NONE,
            Optional.of(reference),
            new EventSequence(reference.requestId(), offset),
            count -> {});
    result.complete(new OpenResult(relay, null, null));
    relay
        .run(response)
        .then(complete -> runner.peerRequests().endRelay(relay, complete, reference.requestId()));
  }
}

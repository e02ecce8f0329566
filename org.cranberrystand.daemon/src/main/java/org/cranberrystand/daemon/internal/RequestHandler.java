package org.cranberrystand.daemon.internal;

import com.google.common.hash.Hashing;
import java.util.Optional;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.Shop;
import org.cranberrystand.bundle.WorkKind;
import org.cranberrystand.identity.Claim;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.UnknownCause;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.ProblemDocument;
import org.cranberrystand.wire.http.ProblemType;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Accepts requests of shops, claims their identifiers and has them run.
 *
 * <p>Safe for use by several threads.
 */
public final class RequestHandler implements Handler {
  private static final long NOT_READY_RETRY_MILLIS = 1_000;

  private final NodeState state;
  private final RequestRunner runner;

  /**
   * Creates a handler.
   *
   * @param state the state of the node
   * @param runner runs requests whose identifier was claimed
   */
  public RequestHandler(NodeState state, RequestRunner runner) {
    this.state = state;
    this.runner = runner;
  }

  @Override
  public void handle(Context ctx) {
    ctx.getResponse().getHeaders().set(ApiHeaders.NODE, state.settings().node());
    Optional<Bundle> bundle = state.bundles().current();
    if (bundle.isEmpty()) {
      Outcome outcome = new Outcome.NotRun(NotRunReason.NOT_READY, NOT_READY_RETRY_MILLIS);
      Replies.outcome(ctx, outcome, true, null);
      return;
    }
    Optional<WorkKind> kind = bundle.get().kind(ctx.getPathTokens().get("kind"));
    String shopName = ctx.getRequest().getHeaders().get(ApiHeaders.SHOP);
    Optional<Shop> shop = bundle.get().shop(shopName == null ? "" : shopName);
    if (kind.isEmpty()) {
      Replies.problem(ctx, ProblemType.NOT_FOUND, "the bundle declares no such kind of work");
    } else if (shop.isEmpty()) {
      Replies.problem(
          ctx, ProblemType.INVALID_REQUEST, "header " + ApiHeaders.SHOP + " names no known shop");
    } else if (!shop.get().kinds().contains(kind.get().name())) {
      Replies.problem(ctx, ProblemType.INVALID_REQUEST, "the shop may not send this kind of work");
    } else {
      ctx.getRequest()
          .getBody(state.settings().limits().maxBodyBytes())
          .then(
              body ->
                  accept(
                      ctx, bundle.get(), kind.get(), shop.get(), new RequestBody(body.getBytes())));
    }
  }

  private void accept(Context ctx, Bundle bundle, WorkKind kind, Shop shop, RequestBody body) {
    String key = ctx.getRequest().getHeaders().get(ApiHeaders.IDEMPOTENCY_KEY);
    Optional<RequestId> id =
        key == null ? Optional.of(state.issuer().next()) : state.idCodec().decode(key);
    if (id.isEmpty()) {
      Replies.problem(
          ctx, ProblemType.INVALID_REQUEST, ApiHeaders.IDEMPOTENCY_KEY + " is not an identifier");
    } else if (key == null && !kind.isRepeatable()) {
      requireIdentifier(ctx, id.get());
    } else {
      IncomingRequest request =
          new IncomingRequest(
              id.get(),
              kind,
              bundle.pools().get(kind.pool()).type(),
              shop,
              body,
              kind.deadlineMillis());
      ctx.getResponse().getHeaders().set(ApiHeaders.REQUEST_ID, state.idCodec().encode(id.get()));
      claim(ctx, request);
    }
  }

  private void requireIdentifier(Context ctx, RequestId fresh) {
    ProblemType type = ProblemType.IDENTIFIER_REQUIRED;
    String encoded = state.idCodec().encode(fresh);
    Replies.problem(
        ctx,
        new ProblemDocument(
            type.uri(), type.title(), type.status(), null, null, encoded, Long.valueOf(0)));
  }

  private void claim(Context ctx, IncomingRequest request) {
    if (!request.id().issuer().equals(state.incarnation())) {
      reply(ctx, request, new Outcome.OutcomeUnknown(UnknownCause.ISSUER_UNREACHABLE));
      return;
    }
    String digest =
        Hashing.sha256()
            .newHasher()
            .putUnencodedChars(request.kind().name())
            .putChar('\n')
            .putBytes(request.body().bytes())
            .hash()
            .toString();
    Claim claim = state.ledger().claim(request.id(), request.shop().name(), digest);
    if (claim instanceof Claim.Granted granted) {
      runOrRefuse(ctx, request, granted, digest);
    } else if (claim instanceof Claim.InFlight inFlight) {
      Promise.toPromise(inFlight.entry().whenDone()).then(o -> reply(ctx, request, o));
    } else if (claim instanceof Claim.Completed completed) {
      reply(ctx, request, completed.outcome());
    } else if (claim instanceof Claim.Mismatch) {
      Replies.problem(ctx, ProblemType.IDENTIFIER_MISMATCH, null);
    } else if (claim instanceof Claim.Expired) {
      reply(ctx, request, new Outcome.OutcomeUnknown(UnknownCause.IDENTIFIER_EXPIRED));
    } else {
      Replies.problem(ctx, ProblemType.INVALID_REQUEST, "the identifier was never issued");
    }
  }

  /** Refuses only requests that were never run; a resend gets the outcome of the first one. */
  private void runOrRefuse(
      Context ctx, IncomingRequest request, Claim.Granted granted, String digest) {
    Optional<NotRunReason> refusal = state.readiness().refusal();
    if (refusal.isEmpty()) {
      runner.run(ctx, request, granted.entry(), digest);
      return;
    }
    long retryMillis = refusal.get() == NotRunReason.LEAVING ? 0 : NOT_READY_RETRY_MILLIS;
    Outcome outcome = new Outcome.NotRun(refusal.get(), retryMillis);
    state.ledger().complete(granted.entry(), outcome);
    reply(ctx, request, outcome);
  }

  private void reply(Context ctx, IncomingRequest request, Outcome outcome) {
    Replies.outcome(
        ctx, outcome, request.kind().isRepeatable(), state.idCodec().encode(request.id()));
  }
}

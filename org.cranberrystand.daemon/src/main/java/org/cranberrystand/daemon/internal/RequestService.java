package org.cranberrystand.daemon.internal;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.identity.Claim;
import org.cranberrystand.identity.LedgerEntry;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.UnknownCause;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.ProblemType;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.handling.Context;

/**
 * Decides whether a request is run here, joined, answered from the record or forwarded.
 *
 * <p>Safe for use by several threads.
 */
public final class RequestService {
  private static final long NOT_READY_RETRY_MILLIS = 1_000;
  private static final int MAX_RECEIPTS = 100_000;

  /** How a request came to this node. */
  enum Origin {
    /** From its caller. */
    CALLER,
    /** From a node that did not issue its identifier. */
    FORWARDED,
    /** From the issuer of its identifier, which will not dispatch it. */
    HANDED_OVER
  }

  private final NodeState state;
  private final RequestRunner runner;
  private final RequestReader reader;
  // A second hand-over of one identifier would be a second dispatch.
  private final Cache<RequestId, Boolean> receipts;

  /**
   * Creates a service.
   *
   * @param state the state of the node
   * @param runner runs requests whose identifier was claimed
   */
  public RequestService(NodeState state, RequestRunner runner) {
    this.state = state;
    this.runner = runner;
    this.reader = new RequestReader(state);
    this.receipts =
        CacheBuilder.newBuilder()
            .maximumSize(MAX_RECEIPTS)
            .expireAfterWrite(
                Duration.ofMillis(2 * state.settings().limits().identifierLifetimeMillis()))
            .build();
  }

  /**
   * Serves a request.
   *
   * @param ctx the exchange
   * @param raw the request as received
   * @param origin how it came here
   */
  void serve(Context ctx, RequestReader.Raw raw, Origin origin) {
    Optional<Bundle> bundle = state.bundles().current();
    if (bundle.isEmpty()) {
      // A presented identifier may have been used before; nothing is known of it here.
      Outcome outcome =
          raw.id() == null || origin == Origin.HANDED_OVER
              ? new Outcome.NotRun(NotRunReason.NOT_READY, NOT_READY_RETRY_MILLIS)
              : new Outcome.OutcomeUnknown(UnknownCause.ISSUER_UNREACHABLE);
      Replies.outcome(ctx, outcome, false, null);
      return;
    }
    IncomingRequest request;
    try {
      request = reader.read(bundle.get(), raw);
    } catch (RequestReader.RefusedException e) {
      Replies.problem(ctx, e.problem());
      return;
    }
    ctx.getResponse().getHeaders().set(ApiHeaders.REQUEST_ID, request.idText());
    if (origin == Origin.HANDED_OVER) {
      receiveHandOver(ctx, request);
    } else if (request.id().issuer().equals(state.incarnation())) {
      claim(ctx, request);
    } else if (origin == Origin.CALLER) {
      send(ctx, request, runner.peers().forward(request));
    } else {
      whole(ctx, request, new Outcome.OutcomeUnknown(UnknownCause.ISSUER_UNREACHABLE), null);
    }
  }

  private void claim(Context ctx, IncomingRequest request) {
    Claim claim =
        state.ledger().claim(request.id(), request.shop().name(), request.contentDigest());
    if (claim instanceof Claim.Granted granted) {
      LedgerEntry entry = granted.entry();
      // Only requests that were never run are refused; a resend gets the outcome of the first one.
      Optional<Outcome> refusal = refusal();
      if (refusal.isPresent()) {
        state.ledger().complete(entry, refusal.get());
        whole(ctx, request, refusal.get(), null);
        return;
      }
      RunningRequest running =
          runner.start(
              request,
              false,
              outcome -> state.ledger().complete(entry, outcome),
              entry::setResumeReference);
      watchCaller(ctx, running);
      send(ctx, request, running.reply());
    } else if (claim instanceof Claim.InFlight inFlight) {
      join(ctx, request, inFlight.entry());
    } else if (claim instanceof Claim.Completed completed) {
      whole(ctx, request, completed.outcome(), completed.entry().resumeReference());
    } else if (claim instanceof Claim.Mismatch) {
      Replies.problem(ctx, ProblemType.IDENTIFIER_MISMATCH, null);
    } else if (claim instanceof Claim.Expired) {
      whole(ctx, request, new Outcome.OutcomeUnknown(UnknownCause.IDENTIFIER_EXPIRED), null);
    } else {
      Replies.problem(ctx, ProblemType.INVALID_REQUEST, "the identifier was never issued");
    }
  }

  // A resend gets the whole answer at its end. A stream is not sent twice as it arrives, since its
  // reader's back pressure would then depend on the slower of two callers.
  private void join(Context ctx, IncomingRequest request, LedgerEntry entry) {
    runner
        .running()
        .find(request.id())
        .ifPresent(
            running -> {
              running.addCaller();
              watchCaller(ctx, running);
            });
    Promise.toPromise(entry.outcomeFuture())
        .then(outcome -> whole(ctx, request, outcome, entry.resumeReference()));
  }

  private Optional<Outcome> refusal() {
    return state
        .readiness()
        .refusal()
        .map(
            reason ->
                new Outcome.NotRun(
                    reason, reason == NotRunReason.LEAVING ? 0 : NOT_READY_RETRY_MILLIS));
  }

  private void receiveHandOver(Context ctx, IncomingRequest request) {
    Optional<Outcome> refusal = refusal();
    if (refusal.isPresent()) {
      whole(ctx, request, refusal.get(), null);
      return;
    }
    if (receipts.asMap().putIfAbsent(request.id(), true) != null) {
      whole(ctx, request, new Outcome.OutcomeUnknown(UnknownCause.HANDOVER_LOST), null);
      return;
    }
    RunningRequest running =
        runner.start(request, true, outcome -> forgetIfNotRun(request, outcome), reference -> {});
    watchCaller(ctx, running);
    send(ctx, request, running.reply());
  }

  private void forgetIfNotRun(IncomingRequest request, Outcome outcome) {
    if (outcome instanceof Outcome.NotRun) {
      receipts.invalidate(request.id());
    }
  }

  private void watchCaller(Context ctx, RunningRequest running) {
    Channel channel = ctx.getDirectChannelAccess().getChannel();
    ExecController exec = ctx.getExecution().getController();
    AtomicBoolean left = new AtomicBoolean();
    ChannelFutureListener listener =
        future -> {
          if (left.compareAndSet(false, true)) {
            runner.running().callerLeft(running, exec);
          }
        };
    channel.closeFuture().addListener(listener);
    ctx.onClose(outcome -> channel.closeFuture().removeListener(listener));
    // Ratpack reads nothing between two requests, so a closed connection would go unnoticed.
    channel.read();
  }

  private static void whole(
      Context ctx, IncomingRequest request, Outcome outcome, String resumeReference) {
    Replies.reply(ctx, request, new Reply.Whole(outcome, null, resumeReference));
  }

  private static void send(Context ctx, IncomingRequest request, CompletableFuture<Reply> reply) {
    Promise.toPromise(reply).then(value -> Replies.reply(ctx, request, value));
  }
}

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
 * Decides whether a request is run on this node, joined to a running one, answered from the ledger
 * or forwarded to the issuer of its identifier.
 *
 * <p>Safe for use by several threads.
 */
public final class RequestService {
  private static final long NOT_READY_RETRY_AFTER_MILLIS = 1_000;
  private static final int MAX_HAND_OVER_RECEIPTS = 100_000;

  /** Sender of a request. */
  enum Origin {
    /** The caller. */
    CALLER,
    /** A node that did not issue the identifier and forwards the request to its issuer. */
    FORWARDED,
    /** The issuer of the identifier, which will not dispatch the request itself. */
    HANDED_OVER
  }

  private final NodeState state;
  private final RequestRunner runner;
  private final RequestReader reader;
  // Identifiers of accepted hand-overs; a repeated hand-over would be a second dispatch.
  private final Cache<RequestId, Boolean> handOverReceipts;

  /**
   * Creates a service.
   *
   * @param state the state of the node
   * @param runner runs claimed requests
   */
  public RequestService(NodeState state, RequestRunner runner) {
    this.state = state;
    this.runner = runner;
    this.reader = new RequestReader(state);
    this.handOverReceipts =
        CacheBuilder.newBuilder()
            .maximumSize(MAX_HAND_OVER_RECEIPTS)
            .expireAfterWrite(
                Duration.ofMillis(2 * state.settings().limits().identifierLifetimeMillis()))
            .build();
  }

  /**
   * Serves a request.
   *
   * @param ctx the HTTP exchange
   * @param raw the request as received
   * @param origin the sender of the request
   */
  void serve(Context ctx, RequestReader.RawRequest raw, Origin origin) {
    Optional<Bundle> bundle = state.bundles().current();
    if (bundle.isEmpty()) {
      // An identifier that the caller sent may have been used before, which cannot be checked now.
      Outcome outcome =
          raw.id() == null || origin == Origin.HANDED_OVER
              ? new Outcome.NotRun(NotRunReason.NOT_READY, NOT_READY_RETRY_AFTER_MILLIS)
              : new Outcome.OutcomeUnknown(UnknownCause.ISSUER_UNREACHABLE);
      Replies.outcome(ctx, outcome, false, null);
      return;
    }
    IncomingRequest request;
    try {
      request = reader.read(bundle.get(), raw);
    } catch (RequestReader.InvalidRequestException e) {
      Replies.problem(ctx, e.problem());
      return;
    }
    ctx.getResponse().getHeaders().set(ApiHeaders.REQUEST_ID, request.idText());
    if (origin == Origin.HANDED_OVER) {
      receiveHandOver(ctx, request);
    } else if (request.id().issuer().equals(state.incarnation())) {
      claim(ctx, request);
    } else if (origin == Origin.CALLER) {
      sendReply(ctx, request, runner.peerRequests().forward(request));
    } else {
      sendOutcome(ctx, request, new Outcome.OutcomeUnknown(UnknownCause.ISSUER_UNREACHABLE), null);
    }
  }

  private void claim(Context ctx, IncomingRequest request) {
    Claim claim =
        state.ledger().claim(request.id(), request.shop().name(), request.contentDigest());
    if (claim instanceof Claim.Granted granted) {
      LedgerEntry entry = granted.entry();
      // Only newly claimed requests may be refused; a resent one gets the outcome of the first one.
      Optional<Outcome> refusal = refusalOutcome();
      if (refusal.isPresent()) {
        state.ledger().complete(entry, refusal.get());
        sendOutcome(ctx, request, refusal.get(), null);
        return;
      }
      RunningRequest running =
          runner.start(
              request,
              false,
              outcome -> state.ledger().complete(entry, outcome),
              entry::setResumeReference);
      watchCallerConnection(ctx, running);
      sendReply(ctx, request, running.reply());
    } else if (claim instanceof Claim.InFlight inFlight) {
      joinRunning(ctx, request, inFlight.entry());
    } else if (claim instanceof Claim.Completed completed) {
      sendOutcome(ctx, request, completed.outcome(), completed.entry().resumeReference());
    } else if (claim instanceof Claim.Mismatch) {
      Replies.problem(ctx, ProblemType.IDENTIFIER_MISMATCH, null);
    } else if (claim instanceof Claim.Expired) {
      sendOutcome(ctx, request, new Outcome.OutcomeUnknown(UnknownCause.IDENTIFIER_EXPIRED), null);
    } else {
      Replies.problem(ctx, ProblemType.INVALID_REQUEST, "the identifier was never issued");
    }
  }

  // A resent request gets the complete answer at its end. A stream is not relayed to two callers,
  // since the slower one would then throttle the other by back pressure.
  private void joinRunning(Context ctx, IncomingRequest request, LedgerEntry entry) {
    runner
        .runningRequests()
        .find(request.id())
        .ifPresent(
            running -> {
              running.addCaller();
              watchCallerConnection(ctx, running);
            });
    Promise.toPromise(entry.outcomeFuture())
        .then(outcome -> sendOutcome(ctx, request, outcome, entry.resumeReference()));
  }

  private Optional<Outcome> refusalOutcome() {
    return state
        .readiness()
        .refusalReason()
        .map(
            reason ->
                new Outcome.NotRun(
                    reason, reason == NotRunReason.LEAVING ? 0 : NOT_READY_RETRY_AFTER_MILLIS));
  }

  private void receiveHandOver(Context ctx, IncomingRequest request) {
    Optional<Outcome> refusal = refusalOutcome();
    if (refusal.isPresent()) {
      sendOutcome(ctx, request, refusal.get(), null);
      return;
    }
    if (handOverReceipts.asMap().putIfAbsent(request.id(), true) != null) {
      sendOutcome(ctx, request, new Outcome.OutcomeUnknown(UnknownCause.HANDOVER_LOST), null);
      return;
    }
    RunningRequest running =
        runner.start(
            request, true, outcome -> removeReceiptIfNotRun(request, outcome), reference -> {});
    watchCallerConnection(ctx, running);
    sendReply(ctx, request, running.reply());
  }

  private void removeReceiptIfNotRun(IncomingRequest request, Outcome outcome) {
    if (outcome instanceof Outcome.NotRun) {
      handOverReceipts.invalidate(request.id());
    }
  }

  private void watchCallerConnection(Context ctx, RunningRequest running) {
    Channel channel = ctx.getDirectChannelAccess().getChannel();
    ExecController exec = ctx.getExecution().getController();
    AtomicBoolean disconnected = new AtomicBoolean();
    ChannelFutureListener listener =
        future -> {
          if (disconnected.compareAndSet(false, true)) {
            runner.runningRequests().callerDisconnected(running, exec);
          }
        };
    channel.closeFuture().addListener(listener);
    ctx.onClose(outcome -> channel.closeFuture().removeListener(listener));
    // Ratpack reads nothing while it handles a request, so it would not detect a closed connection.
    channel.read();
  }

  private static void sendOutcome(
      Context ctx, IncomingRequest request, Outcome outcome, String resumeReference) {
    Replies.reply(ctx, request, new Reply.Buffered(outcome, null, resumeReference));
  }

  private static void sendReply(
      Context ctx, IncomingRequest request, CompletableFuture<Reply> reply) {
    Promise.toPromise(reply).then(value -> Replies.reply(ctx, request, value));
  }
}

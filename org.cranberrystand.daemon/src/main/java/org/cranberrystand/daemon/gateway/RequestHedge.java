package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.CallEnding;
import org.cranberrystand.dispatch.CallSpec;
import org.cranberrystand.dispatch.HedgePolicy;
import org.cranberrystand.dispatch.HedgeTarget;

/**
 * The hedge of one request: a second attempt that is sent if the first one has no response after a
 * learned delay.
 *
 * <p>While both attempts are in progress, the failure of one does not affect the other. The relay
 * always has one attempt of its own; the hedge becomes that attempt as soon as its response can be
 * forwarded or the first attempt has failed. Used only on the event loop.
 */
final class RequestHedge implements ResponseAssembler.Receiver {
  private static final String WON = "won";
  private static final String CANCELLED = "cancelled";
  private static final String FAILED = "failed";
  private static final String IN_PROGRESS = "in-progress";

  private final RelayContext context;
  private final RequestRelay relay;
  private final RelayAttempts attempts;
  private final RelayRetries retries;
  private final ResponseAssembler.Receiver receiver;
  private final RequestContent content;
  private final CallSpec spec;
  private final RelayLog log;
  private final String pool;
  private final long key;
  private ScheduledFuture<?> timer;
  private RelayAttempt firstAttempt;
  private RelayAttempt attempt;
  private boolean promoted;
  private String firstOutcome = IN_PROGRESS;
  private String hedgeOutcome = IN_PROGRESS;

  /**
   * Creates the hedge of a request that has not been sent.
   *
   * @param context the components that all requests share
   * @param relay the relay of the request
   * @param attempts sends the attempts of the request
   * @param retries decides whether the request may be repeated
   * @param receiver receives the response once the hedge is the attempt of the relay
   * @param content the content of the request
   * @param spec the request
   * @param log the log of the request
   */
  RequestHedge(
      RelayContext context,
      RequestRelay relay,
      RelayAttempts attempts,
      RelayRetries retries,
      ResponseAssembler.Receiver receiver,
      RequestContent content,
      CallSpec spec,
      RelayLog log) {
    this.context = context;
    this.relay = relay;
    this.attempts = attempts;
    this.retries = retries;
    this.receiver = receiver;
    this.content = content;
    this.spec = spec;
    this.log = log;
    this.pool = spec.pool();
    this.key = spec.key();
  }

  private HedgePolicy policy() {
    return context.hedging().policy();
  }

  /**
   * Starts to wait for the response to the first attempt of a request that may be hedged. The first
   * attempt is sent again if it certainly did not run; the request still has one hedge at most.
   */
  void firstAttemptSent() {
    if (!policy().isEnabled() || attempt != null) {
      return;
    }
    cancelTimer();
    firstAttempt = attempts.current();
    long now = System.nanoTime();
    policy().requestSent(pool, now);
    long delayNanos = policy().delayNanos(pool, now);
    if (delayNanos != HedgePolicy.NEVER) {
      timer = context.loop().schedule(this::sendIfAllowed, delayNanos, TimeUnit.NANOSECONDS);
    }
  }

  private void sendIfAllowed() {
    timer = null;
    RelayAttempt first = firstAttempt;
    long now = System.nanoTime();
    if (relay.isDone()
        || attempts.current() != first
        || !first.isInProgress()
        || first.hasResponded()
        || !policy().mayHedge(pool, context.hedging().fleetVisible().getAsBoolean(), now)) {
      return;
    }
    HedgeTarget target =
        context.dispatcher().findHedgeTarget(spec, first.upstream(), now).orElse(null);
    // The retry is taken last, since it cannot be returned.
    if (target == null || !retries.tryAcquire()) {
      return;
    }
    policy().hedgeSent(pool, now);
    context.dispatcher().hedgeSent(spec, target, now);
    context.metrics().recordHedge("sent");
    log.hedged(
        first.upstream(),
        target,
        TimeUnit.NANOSECONDS.toMillis(now - first.sentNanos()),
        policy().percentile(),
        policy().shareUsed(pool, now));
    attempt = attempts.sendHedge(target.upstream(), target.choice(), this);
  }

  /** Records the response time of the first attempt, at least as long as it has lasted. */
  void firstAttemptLasted(RelayAttempt first) {
    if (!promoted) {
      long now = System.nanoTime();
      policy().responded(pool, now - first.sentNanos(), now);
    }
  }

  /** Returns whether the hedge is in progress beside the attempt of the relay. */
  boolean isInProgress() {
    return attempt != null && !promoted && attempt.isInProgress();
  }

  /** Makes the hedge the attempt of the relay if the first attempt has failed. */
  boolean takeOver() {
    if (!isInProgress()) {
      return false;
    }
    firstOutcome = FAILED;
    promoted = true;
    relay.continueWithHedge(attempt);
    return true;
  }

  /** Cancels the hedge, because the first attempt has won or the request has ended. */
  void cancel() {
    cancelTimer();
    if (isInProgress()) {
      end(CallEnding.CANCELLED, CANCELLED);
      context.metrics().recordHedge(CANCELLED);
    }
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  /** Ends the hedge with the request, and returns log fields that state what both attempts did. */
  String requestEnded(String outcome) {
    cancel();
    if (attempt == null) {
      return "";
    }
    String last = lastOutcome(outcome);
    // Another attempt may have followed after both have failed.
    if (promoted) {
      hedgeOutcome = attempts.current() == attempt ? last : FAILED;
    } else {
      firstOutcome = attempts.current() == firstAttempt ? last : FAILED;
    }
    if (hedgeOutcome.equals(WON)) {
      context.metrics().recordHedge(WON);
    }
    return " hedge="
        + attempt.upstream().id()
        + " first="
        + firstOutcome
        + " second="
        + hedgeOutcome;
  }

  private static String lastOutcome(String outcome) {
    return switch (outcome) {
      case RequestRelay.ANSWERED -> WON;
      case RequestRelay.CALLER_GONE -> CANCELLED;
      default -> FAILED;
    };
  }

  private void end(CallEnding ending, String outcome) {
    hedgeOutcome = outcome;
    attempt.cancel();
    attempt.response().release();
    if (!ending.isUpstreamReachable()) {
      context.client().closeIdle(attempt.upstream().id());
    }
    context.dispatcher().hedgeEnded(key, ending, System.nanoTime());
  }

  private void win() {
    firstAttemptLasted(firstAttempt);
    firstOutcome = CANCELLED;
    firstAttempt.cancel();
    context.dispatcher().ended(key, CallEnding.CANCELLED, System.nanoTime());
    promoted = true;
    relay.continueWithHedge(attempt);
  }

  @Override
  public boolean isDone(ResponseAssembler response) {
    if (promoted) {
      return receiver.isDone(response);
    }
    return relay.isDone() || (attempt != null && !attempt.isInProgress());
  }

  @Override
  public void headReceived(ResponseHeaders headers) {
    if (promoted) {
      receiver.headReceived(headers);
    } else {
      context.signals().received(attempt.upstream(), headers, attempt.sentNanos());
      bytesReceived();
    }
  }

  @Override
  public void bytesReceived() {
    if (promoted) {
      receiver.bytesReceived();
    } else {
      context.dispatcher().hedgeBytesReceived(key, System.nanoTime());
    }
  }

  @Override
  public void connectFailed(Throwable cause) {
    if (promoted) {
      receiver.connectFailed(cause);
      return;
    }
    attempts.notRun();
    log.broken(attempt.upstream(), "connect", cause);
    end(CallEnding.UNREACHABLE, "unreachable");
  }

  @Override
  public void eventsReceived(
      ResponseAssembler response, ByteBuf events, int count, String lastEventId) {
    if (!promoted) {
      win();
    }
    receiver.eventsReceived(response, events, count, lastEventId);
  }

  @Override
  public void bodyInvalid(String cause) {
    if (promoted) {
      receiver.bodyInvalid(cause);
    } else {
      end(CallEnding.FAILED, FAILED);
    }
  }

  @Override
  public void bodyPartReceived(ResponseAssembler response, ByteBuf part) {
    if (!promoted && !response.isForwardable()) {
      part.release();
      end(CallEnding.FAILED, FAILED);
      return;
    }
    if (!promoted) {
      win();
    }
    receiver.bodyPartReceived(response, part);
  }

  @Override
  public void streamEnded(ResponseAssembler response, boolean insideEvent) {
    if (promoted) {
      receiver.streamEnded(response, insideEvent);
    } else {
      attempt.ended();
      content.recordBroken(attempt, () -> {});
      end(CallEnding.FAILED, FAILED);
    }
  }

  @Override
  public void responseCompleted(ResponseAssembler response, ByteBuf body) {
    if (promoted) {
      receiver.responseCompleted(response, body);
      return;
    }
    attempt.ended();
    boolean serverError = response.status().codeClass() == HttpStatusClass.SERVER_ERROR;
    if (response.isNotRun()) {
      body.release();
      attempts.notRun();
      context.signals().refused(attempt.upstream());
      end(CallEnding.NOT_RUN, "refused");
    } else if (serverError || !response.isForwardable()) {
      if (response.isForwardable()) {
        content.answered(attempt, response.status());
      }
      body.release();
      end(CallEnding.FAILED, FAILED);
    } else {
      win();
      receiver.responseCompleted(response, body);
    }
  }

  @Override
  public void connectionBroken(Throwable cause, boolean endedByUpstream) {
    if (promoted) {
      receiver.connectionBroken(cause, endedByUpstream);
      return;
    }
    attempt.ended();
    if (endedByUpstream) {
      content.recordBroken(attempt, () -> {});
    }
    log.broken(attempt.upstream(), "answer", cause);
    end(CallEnding.BROKEN, "broken");
  }
}

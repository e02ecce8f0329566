package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Optional;
import org.cranberrystand.dispatch.CallEnding;
import org.cranberrystand.dispatch.CallSpec;
import org.cranberrystand.dispatch.PauseRequest;
import org.cranberrystand.dispatch.PlacementChoice;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.routing.Route;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Relays one admitted request: from the dispatcher's queue to an upstream, and the response to the
 * caller.
 *
 * <p>A response whose status means that the request did not run is sent only if no upstream can
 * have run it. Used only on the event loop.
 */
final class RequestRelay implements CallerExchange.Listener, ContinuedPlacements.Continued {
  private static final long RETRY_AFTER_MILLIS = 300;

  private static final String CONNECTION_BROKE = "connection broke";

  static final String ANSWERED = "answered";
  static final String CALLER_GONE = "caller-gone";

  private final RelayContext context;
  private final CallerExchange exchange;
  private final CallerHeaders caller;
  private final Route route;
  private final QuotaCharge quota;
  private final RequestForwarding forwarding;
  private final RequestContent content;
  private final RelayAttempts attempts;
  private final DeadlineTimer deadlineTimer;
  private final SilenceTimer silenceTimer;
  private final RelayLog log;
  private final RequestHedge hedge;
  private final CallerResponse response;
  private final RelayRetries retries;
  private final ResponseForwarder forwarder = new ResponseForwarder();
  private final RequestPlacement placement;

  private CallSpec spec;
  private long refusalPauseMillis;
  private boolean done;
  private long lastByteNanos;

  RequestRelay(
      RelayContext context,
      CallerExchange exchange,
      CallerHeaders caller,
      Route route,
      Optional<TeamPolicy> team,
      CallSpec spec) {
    this.context = context;
    this.exchange = exchange;
    this.caller = caller;
    this.route = route;
    this.quota = new QuotaCharge(context.quotas(), team, caller.quotaTokens());
    this.spec = spec;
    this.placement = new RequestPlacement(context.dispatcher(), spec.key());
    this.forwarding = new RequestForwarding(context, exchange, caller);
    this.attempts = new RelayAttempts(context, exchange, caller, route, team, spec);
    Deadline deadline = new Deadline();
    this.deadlineTimer = new DeadlineTimer(context.loop(), spec.deadlineNanos(), deadline);
    this.attempts.setDeadlinePassedAction(deadline::deadlinePassed);
    this.silenceTimer = new SilenceTimer(context.loop(), new Silence());
    this.log = new RelayLog(context.log(), caller.requestId(), route, team, spec.arrivalNanos());
    this.content =
        new RequestContent(context.crashes(), ContentKeys.of(exchange, caller, team), log);
    this.response = new CallerResponse(exchange, context.headerCodec(), caller.lastEventId());
    this.retries = new RelayRetries(context.retries(), route, spec, attempts, content, response);
    this.hedge = new RequestHedge(context, this, attempts, retries, forwarder, content, spec, log);
  }

  /** Submits the request to the dispatcher. */
  void start() {
    exchange.setListener(this);
    if (refuseIfQuarantined()) {
      return;
    }
    if (forwarding.isMisdirected(spec.pool())) {
      refuse(NotRunReason.NO_UPSTREAM, RETRY_AFTER_MILLIS);
      return;
    }
    deadlineTimer.start();
    if (caller.lastEventId() != null) {
      log.resumed(caller.resumedStream(), caller.lastEventId());
    }
    if (!forward()) {
      placement.submit(spec, null);
    }
  }

  @Override
  public RequestPlacement placement() {
    return placement;
  }

  @Override
  public void resubmit(String excludedUpstream) {
    placement.resubmit(spec, excludedUpstream);
  }

  @Override
  public void sendUnlessQuarantined(RegisteredUpstream upstream, PlacementChoice choice) {
    if (!refuseIfQuarantined()) {
      send(upstream, choice);
    }
  }

  /** Sends the request through another node, if only others can send requests to its pool. */
  private boolean forward() {
    Optional<RegisteredUpstream> node = chooseNode();
    node.ifPresent(this::sendToNode);
    return node.isPresent();
  }

  private void sendToNode(RegisteredUpstream node) {
    placement.decided();
    // The other node charges the request.
    quota.refund();
    log.forwarded(node, attempts.runCount());
    attempts.sendToNode(node, forwarding.client(), response.lastEventId(), forwarder);
  }

  private Optional<RegisteredUpstream> chooseNode() {
    return response.isStarted()
        ? Optional.empty()
        : forwarding.chooseNode(spec.pool(), attempts.triedUpstreams());
  }

  /** Forwards the request if it waits on a node that has lost its links to the pool. */
  void forwardWaiting() {
    if (!done
        && !attempts.isInProgress()
        && attempts.runCount() == forwarding.runsBefore()
        && chooseNode().isPresent()) {
      placement.attemptEnded(CallEnding.CANCELLED);
      if (!forward()) {
        placement.submit(spec, null);
      }
    }
  }

  /** Refuses the request if it is not at an upstream and its content crashes upstreams. */
  boolean refuseIfQuarantined() {
    long refusalMillis = done || attempts.isInProgress() ? 0 : content.refusalMillis();
    if (refusalMillis == 0) {
      return false;
    }
    placement.attemptEnded(CallEnding.CANCELLED);
    refuse(NotRunReason.QUARANTINED, refusalMillis);
    return true;
  }

  /** Refuses the request if it was not sent and cannot end before the gateway does. */
  void refuseIfLate() {
    if (!done
        && attempts.runCount() == 0
        && !context.shutdown().maySend(route, spec.deadlineNanos())) {
      endWithNode();
    }
  }

  /** Gives the request its final answer, because the gateway ends. */
  void endWithNode() {
    if (!done) {
      endAttempt(CallEnding.CANCELLED);
      refuse(NotRunReason.LEAVING, Admission.LEAVING_RETRY_MILLIS);
    }
  }

  boolean isDone() {
    return done;
  }

  private RelayAttempt attempt() {
    return attempts.current();
  }

  /** Sends the request to the upstream that the dispatcher selected. */
  void send(RegisteredUpstream chosen, PlacementChoice choice) {
    placement.decided();
    log.placed(chosen, choice, attempts.runCount() + 1, content.wholeKey());
    attempts.sendToUpstream(chosen, choice, response.lastEventId(), forwarder);
    if (route.isRetryable()) {
      silenceTimer.start();
    }
    if (route.isRetryable() && attempts.runCount() == 1 && response.lastEventId() == null) {
      hedge.firstAttemptSent();
    }
  }

  /** Continues with the hedge as the only attempt. */
  void continueWithHedge(RelayAttempt hedgeAttempt) {
    attempts.replaceCurrent(hedgeAttempt);
    lastByteNanos = System.nanoTime();
    context.dispatcher().hedgePromoted(spec.key());
    silenceTimer.start();
  }

  /** Responds that the request did not run, if that is still certain. */
  @Override
  public void refuse(NotRunReason reason, long retryAfterMillis) {
    if (done) {
      return;
    }
    if (response.isStarted()) {
      end("cut", -1);
      response.abort();
      return;
    }
    if (attempts.runCount() > 0) {
      fail(HttpResponseStatus.BAD_GATEWAY, "no upstream answered");
      return;
    }
    if (reason == NotRunReason.OVERLOADED) {
      forwarding
          .chooseNodeWithSlots(spec.pool(), attempts.triedUpstreams())
          .ifPresent(this::sendToNode);
      if (attempts.isInProgress()) {
        return;
      }
    }
    quota.refund();
    log.refused(reason, context.dispatcher().waitingCount(), retryAfterMillis);
    end("refused-" + reason.label(), reason.status());
    ErrorResponses.refuse(exchange, reason, retryAfterMillis);
  }

  private void fail(HttpResponseStatus status, String detail) {
    if (done) {
      return;
    }
    end("failed", status.code());
    if (response.isStarted()) {
      response.abort();
    } else {
      ErrorResponses.write(exchange, status, detail, 0);
    }
  }

  private void end(String outcome, int status) {
    done = true;
    placement.decided();
    deadlineTimer.cancel();
    silenceTimer.cancel();
    String hedgeFields = hedge.requestEnded(outcome);
    attempts.releaseResponse();
    log.ended(outcome, status, attempt(), attempts.runCount(), response.firstNanos(), hedgeFields);
    context.requestEnded(route, outcome, spec.arrivalNanos(), response.firstNanos());
  }

  @Override
  public void callerDisconnected() {
    if (done) {
      return;
    }
    endAttempt(CallEnding.CANCELLED);
    if (attempts.runCount() == 0) {
      quota.refund();
    }
    end(CALLER_GONE, -1);
  }

  @Override
  public void writabilityChanged(boolean writable) {
    Optional.ofNullable(attempt()).ifPresent(sent -> sent.setReading(writable));
  }

  /** Cancels the attempt in progress, if any, and removes the request from the dispatcher. */
  private void endAttempt(CallEnding ending) {
    if (attempts.isInProgress() && !attempts.isAtNode()) {
      content.recordGivenUp(attempt(), ending);
    }
    attempts.cancelCurrent(ending);
    placement.attemptEnded(ending);
  }

  private final class Deadline implements DeadlineTimer.Watched {
    @Override
    public boolean isAtUpstream() {
      return attempts.isInProgress();
    }

    @Override
    public void deadlinePassed() {
      boolean sent = attempts.isInProgress();
      endAttempt(sent && !response.isStarted() ? CallEnding.SILENT : CallEnding.CANCELLED);
      if (sent) {
        fail(HttpResponseStatus.GATEWAY_TIMEOUT, "no answer in time");
      } else {
        refuse(NotRunReason.DEADLINE, RETRY_AFTER_MILLIS);
      }
    }
  }

  /** Sends a request to another upstream if its own is silent for too long. */
  private final class Silence implements SilenceTimer.Watched {
    @Override
    public long silentMillis() {
      return done || attempts.isAtNode() ? -1 : attempt().silentMillis();
    }

    @Override
    public long silenceLimitMillis() {
      return attempt().silenceLimitMillis(route, spec.patienceNanos());
    }

    @Override
    public boolean tryMove(long silentMillis) {
      // While a hedge is in progress, the request already is at another upstream.
      boolean canMove =
          !hedge.isInProgress()
              && (context.dispatcher().canMove(spec, attempt().upstream().id(), System.nanoTime())
                  || chooseNode().isPresent());
      boolean moves = canMove && retries.tryAcquire();
      if (moves) {
        hedge.firstAttemptLasted(attempt());
        endAttempt(CallEnding.SILENT);
        retry("no data for " + silentMillis + " ms");
      }
      return moves;
    }
  }

  /** Sends the request to another upstream after it was checked whether the last one crashed. */
  private void retryAfterCheck() {
    if (refuseIfQuarantined()) {
      return;
    }
    if (retries.tryAcquireAfterCheck()) {
      retry(CONNECTION_BROKE);
    } else {
      fail(HttpResponseStatus.BAD_GATEWAY, CONNECTION_BROKE);
    }
  }

  private void retry(String cause) {
    if (refuseIfQuarantined()) {
      return;
    }
    log.repeated(attempt(), attempts.runCount(), cause);
    attempts.releaseResponse();
    if (forward()) {
      return;
    }
    if (attempts.runCount() > 0) {
      resubmit(attempt().upstream().id());
    } else {
      placement.submit(spec, attempt().upstream().id());
    }
  }

  /** Forwards the response of an attempt to the caller, or retries or fails the request. */
  private final class ResponseForwarder implements ResponseAssembler.Receiver {

    @Override
    public boolean isDone(ResponseAssembler response) {
      return done || response != attempt().response();
    }

    @Override
    public void headReceived(ResponseHeaders headers) {
      if (attempts.isAtNode()) {
        refusalPauseMillis = headers.pause().map(PauseRequest::millis).orElse(RETRY_AFTER_MILLIS);
      } else {
        context.signals().received(attempt().upstream(), headers, attempt().sentNanos());
        if (!headers.notRun() && !route.kind().isStreaming()) {
          attemptResponded();
        }
      }
      bytesReceived();
    }

    private void attemptResponded() {
      if (!attempt().hasResponded()) {
        attempt().setResponded();
        hedge.firstAttemptLasted(attempt());
      }
    }

    @Override
    public void bytesReceived() {
      lastByteNanos = System.nanoTime();
      context.dispatcher().bytesReceived(spec.key(), lastByteNanos);
    }

    @Override
    public void connectFailed(Throwable cause) {
      attempts.notRun();
      forwarding.unreachable();
      attempts.leaveNode();
      endAttempt(CallEnding.UNREACHABLE);
      log.broken(attempt().upstream(), "connect", cause);
      if (!hedge.takeOver()) {
        retryNotRun("upstream unreachable", false);
      }
    }

    @Override
    public void eventsReceived(
        ResponseAssembler received, ByteBuf events, int count, String eventId) {
      response.arrived(lastByteNanos);
      if (!response.isStarted() && !attempts.isAtNode()) {
        bindToVersion();
      }
      boolean survivedBefore = attempt().hasSurvivedStart();
      attemptResponded();
      attempt().addEvents(count, received.firstEventId(), eventId);
      if (!survivedBefore && attempt().hasSurvivedStart()) {
        content.partsAnswered();
      }
      context.dispatcher().eventsReceived(spec.key(), count, lastByteNanos);
      startResponse(received);
      response.sendEvents(events, eventId);
    }

    @Override
    public void bodyInvalid(String cause) {
      attempt().cancel();
      retryOrFail(cause, CallEnding.FAILED);
    }

    /** Binds the stream to the software version of the upstream that sent its first event. */
    private void bindToVersion() {
      RegisteredUpstream upstream = attempt().upstream();
      boolean isKnown = !context.verifier().isDoubted(upstream);
      spec = spec.continuedAt(isKnown ? upstream.softwareVersion() : CallSpec.UNKNOWN_VERSION);
      if (isKnown && route.isResumable() && caller.beginsStream()) {
        context.streams().began(caller.requestId(), upstream);
      }
    }

    private void startResponse(ResponseAssembler received) {
      if (!response.isStarted()) {
        hedge.cancel();
        response.start(received);
      }
    }

    @Override
    public void bodyPartReceived(ResponseAssembler received, ByteBuf part) {
      if (!response.accepts(received)) {
        part.release();
        endAttempt(CallEnding.FAILED);
        if (!hedge.takeOver()) {
          fail(HttpResponseStatus.BAD_GATEWAY, "the upstream gave no valid answer");
        }
        return;
      }
      startResponse(received);
      response.sendPart(part);
    }

    @Override
    public void streamEnded(ResponseAssembler received, boolean insideEvent) {
      attempt().ended();
      boolean isSuspect = !attempt().hasEvents();
      if (insideEvent || !response.isStarted()) {
        // An upstream that stops within an event, or before the first one, did not finish.
        retryOrFail("incomplete stream", CallEnding.FAILED, isSuspect);
        return;
      }
      if (isSuspect && !attempts.isAtNode()) {
        content.recordBroken(attempt(), () -> {});
      }
      recordAnswer(received);
      placement.attemptEnded(CallEnding.ANSWERED);
      end(ANSWERED, received.status().code());
      response.finish();
    }

    @Override
    public void responseCompleted(ResponseAssembler received, ByteBuf body) {
      attempt().ended();
      boolean serverError = received.status().codeClass() == HttpStatusClass.SERVER_ERROR;
      if (received.isNotRun()) {
        handleNotRun(received, body);
      } else if (!response.accepts(received)) {
        body.release();
        retryOrFail("no valid answer", CallEnding.FAILED);
      } else if (serverError && hedge.isInProgress()) {
        recordAnswer(received);
        body.release();
        placement.attemptEnded(CallEnding.FAILED);
        hedge.takeOver();
      } else if (serverError && retries.tryAcquire()) {
        recordAnswer(received);
        body.release();
        placement.attemptEnded(CallEnding.FAILED);
        retry("status " + received.status().code());
      } else {
        forwardWhole(received, body);
      }
    }

    private void handleNotRun(ResponseAssembler received, ByteBuf body) {
      attempts.notRun();
      if (!attempts.isAtNode()) {
        context.signals().refused(attempt().upstream());
      }
      placement.attemptEnded(CallEnding.NOT_RUN);
      if (hedge.takeOver()) {
        body.release();
        return;
      }
      if (attempts.isAtNode()) {
        body.release();
        refusedByNode(received.status());
        return;
      }
      if (!response.isStarted() && attempts.isFaultOfCaller(received.status())) {
        forwardWhole(received, body);
        return;
      }
      body.release();
      retryNotRun("refused with status " + received.status().code(), true);
    }

    private void refusedByNode(HttpResponseStatus status) {
      attempts.leaveNode();
      if (status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)) {
        refuse(NotRunReason.TEAM_LIMIT, refusalPauseMillis);
      } else if (forwarding.refusedByNode()) {
        retry("node refused with status " + status.code());
      } else {
        refuse(NotRunReason.OVERLOADED, refusalPauseMillis);
      }
    }

    private void forwardWhole(ResponseAssembler received, ByteBuf body) {
      int status = received.status().code();
      boolean failed = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
      recordAnswer(received);
      placement.attemptEnded(failed ? CallEnding.FAILED : CallEnding.ANSWERED);
      response.arrived(lastByteNanos);
      end(failed ? "upstream-failed" : ANSWERED, status);
      response.sendWhole(received, body);
    }

    @Override
    public void connectionBroken(Throwable cause, boolean endedByUpstream) {
      attempt().ended();
      log.broken(attempt().upstream(), "answer", cause);
      retryOrFail(CONNECTION_BROKE, CallEnding.BROKEN, endedByUpstream);
    }

    /** Retries or fails the request after an attempt that may have crashed its upstream. */
    private void retryOrFail(String cause, CallEnding ending, boolean isSuspect) {
      if (!isSuspect || attempts.isAtNode()) {
        retryOrFail(cause, ending);
        return;
      }
      RelayAttempt broken = attempt();
      if (!hedge.isInProgress() && retries.waitForCheck()) {
        placement.attemptEnded(ending);
        content.recordBroken(broken, placement.ifStillCurrent(RequestRelay.this::retryAfterCheck));
      } else {
        content.recordBroken(broken, () -> {});
        retryOrFail(cause, ending);
      }
    }

    private void retryOrFail(String cause, CallEnding ending) {
      placement.attemptEnded(ending);
      if (hedge.takeOver()) {
        return;
      }
      if (retries.tryAcquire()) {
        retry(cause);
      } else {
        fail(HttpResponseStatus.BAD_GATEWAY, cause);
      }
    }

    private void recordAnswer(ResponseAssembler received) {
      if (!received.isNotRun() && !attempts.isAtNode()) {
        content.answered(attempt(), received.status());
      }
    }
  }

  /** Submits a request again that was refused or could not be sent. */
  private void retryNotRun(String cause, boolean sent) {
    if (!retries.tryAcquireNotRun(sent)) {
      refuse(NotRunReason.REFUSED, RETRY_AFTER_MILLIS);
      return;
    }
    retry(cause);
  }
}

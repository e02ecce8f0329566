package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.CallEnding;
import org.cranberrystand.dispatch.CallSpec;
import org.cranberrystand.dispatch.PlacementChoice;
import org.cranberrystand.dispatch.SilencePolicy;
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
final class RequestRelay implements CallerExchange.Listener {
  /**
   * Upstreams stop at the deadline by themselves; this is the time for their response to arrive.
   */
  private static final long DEADLINE_MARGIN_MILLIS = 150;

  /** With more attempts that upstreams refuse or that fail to connect, the node gives up. */
  private static final int MAX_ATTEMPTS_WITHOUT_RUN = 4;

  /** With less time left, a retry would not finish before the deadline. */
  private static final long MIN_RETRY_MILLIS = 50;

  /** Interval at which a silent request looks for another upstream with a free slot. */
  private static final long MOVE_RETRY_MILLIS = 100;

  private static final long RETRY_AFTER_MILLIS = 300;

  private static final String UNREACHABLE_CAUSE = "upstream unreachable";

  private final RelayContext context;
  private final CallerExchange exchange;
  private final CallerHeaders caller;
  private final Route route;
  private final Optional<TeamPolicy> team;

  /** Identifies the content in the register of crashes: the whole, and the shared parts. */
  private final ImmutableList<Long> contentKeys;

  private final RelayLog log;

  private final Set<String> triedUpstreams = new HashSet<>();
  private CallSpec spec;
  private UpstreamExchange attempt;
  private RegisteredUpstream upstream;
  private PlacementChoice placement;
  private int runCount;
  private int attemptsWithoutRun;
  private boolean done;
  private boolean responseStarted;
  private boolean attemptHasEvents;
  private long firstResponseNanos;
  private long sentNanos;
  private long lastByteNanos;
  private String lastEventId;
  private ResponseAssembler response;
  private ScheduledFuture<?> deadlineTimer;
  private ScheduledFuture<?> silenceTimer;

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
    this.team = team;
    this.spec = spec;
    this.contentKeys =
        ImmutableList.<Long>builder().add(fingerprint()).addAll(caller.sharedParts()).build();
    this.log =
        new RelayLog(
            context.log(),
            caller.requestId(),
            route.name(),
            team.map(TeamPolicy::name).orElse("none"),
            spec.arrivalNanos());
    this.lastEventId = caller.lastEventId();
  }

  private long fingerprint() {
    Hasher hasher = Hashing.farmHashFingerprint64().newHasher();
    hasher.putUnencodedChars(exchange.request().uri());
    hasher.putUnencodedChars(team.map(TeamPolicy::name).orElse(""));
    hasher.putBytes(exchange.body().nioBuffer());
    return hasher.hash().asLong();
  }

  /** Submits the request to the dispatcher. */
  void start() {
    exchange.setListener(this);
    if (refuseIfQuarantined()) {
      return;
    }
    deadlineTimer =
        context
            .loop()
            .schedule(
                this::deadlinePassed,
                Math.max(0, spec.deadlineNanos() - System.nanoTime()),
                TimeUnit.NANOSECONDS);
    if (caller.lastEventId() != null) {
      log.resumed(caller.resumedStream(), caller.lastEventId());
    }
    context.dispatcher().submit(spec, null, System.nanoTime());
  }

  /** Refuses the request if it is not at an upstream and its content crashes upstreams. */
  boolean refuseIfQuarantined() {
    long refusalMillis = done || attempt != null ? 0 : context.crashes().refusalMillis(contentKeys);
    if (refusalMillis == 0) {
      return false;
    }
    context.dispatcher().ended(spec.key(), CallEnding.CANCELLED, System.nanoTime());
    refuse(NotRunReason.QUARANTINED, refusalMillis);
    return true;
  }

  boolean isDone() {
    return done;
  }

  /** Sends the request to the upstream that the dispatcher selected. */
  void send(RegisteredUpstream chosen, PlacementChoice choice) {
    upstream = chosen;
    placement = choice;
    attemptHasEvents = false;
    sentNanos = System.nanoTime();
    lastByteNanos = sentNanos;
    runCount++;
    log.placed(chosen, choice, runCount);
    response = new ResponseAssembler(new ResponseForwarder(), route.kind().isStreaming());
    attempt =
        context
            .client()
            .send(
                chosen,
                buildUpstreamRequest(chosen),
                exchange.body().retainedDuplicate(),
                caller.requestId(),
                !triedUpstreams.add(chosen.id()),
                response);
    startSilenceTimer();
  }

  private HttpRequest buildUpstreamRequest(RegisteredUpstream chosen) {
    HttpRequest incoming = exchange.request();
    HttpHeaders headers = incoming.headers().copy();
    HopByHopHeaders.remove(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (exchange.body().isReadable() || declaresBody(incoming)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, exchange.body().readableBytes());
    }
    context
        .headerCodec()
        .writeRequest(
            headers,
            caller,
            new UpstreamHeaders(
                chosen.id(),
                team.map(TeamPolicy::name),
                remainingMillis(),
                Optional.ofNullable(lastEventId)));
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, incoming.method(), incoming.uri(), headers);
  }

  private static boolean declaresBody(HttpRequest incoming) {
    return incoming.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || incoming.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
  }

  private long remainingMillis() {
    return Math.max(1, millis(spec.deadlineNanos() - System.nanoTime()));
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  /** Responds that the request did not run, if that is still certain. */
  void refuse(NotRunReason reason, long retryAfterMillis) {
    if (done) {
      return;
    }
    if (responseStarted) {
      // Closing the connection is the only way to show that a started stream is incomplete.
      end("cut", -1);
      exchange.abort();
      return;
    }
    if (runCount > 0) {
      fail(HttpResponseStatus.BAD_GATEWAY, "no upstream answered");
      return;
    }
    refundQuota();
    log.refused(reason, context.dispatcher().waitingCount(), retryAfterMillis);
    end("refused-" + reason.label(), reason.status());
    ErrorResponses.write(
        exchange, HttpResponseStatus.valueOf(reason.status()), reason.label(), retryAfterMillis);
  }

  private void refundQuota() {
    team.ifPresent(t -> context.quotas().refund(t, caller.quotaTokens()));
  }

  private void fail(HttpResponseStatus status, String detail) {
    if (done) {
      return;
    }
    end("failed", status.code());
    if (responseStarted) {
      exchange.abort();
    } else {
      ErrorResponses.write(exchange, status, detail, 0);
    }
  }

  private void end(String outcome, int status) {
    done = true;
    cancelTimers();
    releaseResponse();
    log.ended(outcome, status, upstream, runCount, firstResponseNanos);
    context
        .metrics()
        .recordEnded(route, outcome, spec.arrivalNanos(), firstResponseNanos, System.nanoTime());
  }

  private void cancelTimers() {
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    cancelSilenceTimer();
  }

  private void cancelSilenceTimer() {
    if (silenceTimer != null) {
      silenceTimer.cancel(false);
      silenceTimer = null;
    }
  }

  private void releaseResponse() {
    if (response != null) {
      response.release();
      response = null;
    }
  }

  @Override
  public void callerDisconnected() {
    if (done) {
      return;
    }
    endAttempt(CallEnding.CANCELLED);
    if (runCount == 0) {
      refundQuota();
    }
    end("caller-gone", -1);
  }

  @Override
  public void writabilityChanged(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  /** Cancels the attempt in progress, if any, and removes the request from the dispatcher. */
  private void endAttempt(CallEnding ending) {
    UpstreamExchange ended = attempt;
    attempt = null;
    if (ended != null) {
      ended.cancel();
    }
    if (ended != null && !ending.isUpstreamReachable()) {
      context.client().closeIdle(upstream.id());
    }
    context.dispatcher().ended(spec.key(), ending, System.nanoTime());
  }

  private void deadlinePassed() {
    if (done) {
      return;
    }
    if (attempt == null) {
      context.dispatcher().ended(spec.key(), CallEnding.CANCELLED, System.nanoTime());
      refuse(NotRunReason.DEADLINE, RETRY_AFTER_MILLIS);
      return;
    }
    long overdueNanos = System.nanoTime() - spec.deadlineNanos();
    if (overdueNanos < TimeUnit.MILLISECONDS.toNanos(DEADLINE_MARGIN_MILLIS)) {
      deadlineTimer =
          context
              .loop()
              .schedule(this::deadlinePassed, DEADLINE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    endAttempt(responseStarted ? CallEnding.CANCELLED : CallEnding.SILENT);
    fail(HttpResponseStatus.GATEWAY_TIMEOUT, "no answer in time");
  }

  private void startSilenceTimer() {
    cancelSilenceTimer();
    if (route.isRetryable()) {
      scheduleSilenceCheck(silenceLimitMillis());
    }
  }

  private long silenceLimitMillis() {
    long patienceMillis =
        Math.min(
            millis(spec.maxFirstEventWaitNanos()),
            millis(spec.deadlineNanos() - spec.arrivalNanos()));
    return attemptHasEvents
        ? SilencePolicy.eventLimitMillis(route.gapTargetMillis(), patienceMillis, placement)
        : SilencePolicy.firstResponseLimitMillis(route.targetMillis(), patienceMillis, placement);
  }

  private void scheduleSilenceCheck(long delayMillis) {
    silenceTimer = context.loop().schedule(this::checkSilence, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void checkSilence() {
    if (done || attempt == null) {
      return;
    }
    long silentMillis = millis(System.nanoTime() - lastByteNanos);
    long limitMillis = silenceLimitMillis();
    if (silentMillis < limitMillis) {
      scheduleSilenceCheck(limitMillis - silentMillis);
    } else if (canMove() && tryAcquireRetry()) {
      endAttempt(CallEnding.SILENT);
      retry("no data for " + silentMillis + " ms");
    } else {
      // Until another upstream has a slot, the silent one may still respond.
      scheduleSilenceCheck(MOVE_RETRY_MILLIS);
    }
  }

  private boolean canMove() {
    return context.dispatcher().canMove(spec, upstream.id(), System.nanoTime());
  }

  /**
   * Takes a retry from the allowance if a request that may have run may be sent to another
   * upstream.
   */
  private boolean tryAcquireRetry() {
    // Without the identifier of the last event, another attempt would restart the stream.
    boolean resumable = !responseStarted || lastEventId != null;
    return route.isRetryable()
        && resumable
        && context.crashes().refusalMillis(contentKeys) == 0
        && runCount < route.maxAttempts()
        && millis(spec.deadlineNanos() - System.nanoTime()) > MIN_RETRY_MILLIS
        && context.retries().tryAcquire(spec.pool());
  }

  private void retry(String cause) {
    log.repeated(upstream, runCount, cause);
    releaseResponse();
    if (runCount > 0) {
      context.dispatcher().resubmit(spec, upstream.id(), System.nanoTime());
    } else {
      context.dispatcher().submit(spec, upstream.id(), System.nanoTime());
    }
  }

  /** Forwards the response of an attempt to the caller, or retries or fails the request. */
  private final class ResponseForwarder implements ResponseAssembler.Receiver {

    @Override
    public boolean isDone() {
      return done;
    }

    @Override
    public void headReceived(ResponseHeaders headers) {
      context.signals().received(upstream, headers, sentNanos);
      bytesReceived();
    }

    @Override
    public void bytesReceived() {
      lastByteNanos = System.nanoTime();
      context.dispatcher().bytesReceived(spec.key(), lastByteNanos);
    }

    @Override
    public void connectFailed(Throwable cause) {
      runCount--;
      endAttempt(CallEnding.UNREACHABLE);
      log.broken(upstream, "connect", cause);
      retryNotRun(UNREACHABLE_CAUSE);
    }

    @Override
    public void eventsReceived(
        ResponseAssembler received, ByteBuf events, int count, String eventId) {
      if (!attemptHasEvents && lastEventId != null && !received.beginsAfter(lastEventId)) {
        events.release();
        attempt.cancel();
        attempt = null;
        retryOrFail("stream not resumed after event " + lastEventId, CallEnding.FAILED);
        return;
      }
      if (firstResponseNanos == 0) {
        firstResponseNanos = lastByteNanos;
      }
      if (!responseStarted) {
        bindToVersion();
      }
      if (!attemptHasEvents) {
        context.crashes().answered(caller.sharedParts());
      }
      attemptHasEvents = true;
      context.dispatcher().eventsReceived(spec.key(), count, lastByteNanos);
      startResponse(received);
      lastEventId = eventId;
      exchange.sendPart(events);
    }

    /** Binds the stream to the software version of the upstream that sent its first event. */
    private void bindToVersion() {
      spec = spec.continuedAt(upstream.softwareVersion());
      if (route.isResumable() && caller.lastEventId() == null && caller.requestId() != null) {
        context.streams().began(caller.requestId(), upstream);
      }
    }

    private void startResponse(ResponseAssembler received) {
      if (!responseStarted) {
        responseStarted = true;
        exchange.startResponse(received.status(), callerHeaders(received));
      }
    }

    @Override
    public void bodyPartReceived(ResponseAssembler received, ByteBuf part) {
      if (!responseStarted && !received.isForwardable()) {
        part.release();
        endAttempt(CallEnding.FAILED);
        fail(HttpResponseStatus.BAD_GATEWAY, "the upstream gave no valid answer");
        return;
      }
      startResponse(received);
      exchange.sendPart(part);
    }

    @Override
    public void streamEnded(ResponseAssembler received, boolean insideEvent) {
      attempt = null;
      if (!attemptHasEvents) {
        recordBroken();
      }
      if (insideEvent || !responseStarted) {
        // An upstream that stops within an event, or before the first one, did not finish.
        retryOrFail("incomplete stream", CallEnding.FAILED);
        return;
      }
      recordEnding(CallEnding.ANSWERED);
      end("answered", received.status().code());
      exchange.finishResponse();
    }

    @Override
    public void responseCompleted(ResponseAssembler received, ByteBuf body) {
      attempt = null;
      boolean resumedStream = responseStarted && route.kind().isStreaming();
      boolean serverError = received.status().codeClass() == HttpStatusClass.SERVER_ERROR;
      if (received.isNotRun()) {
        handleNotRun(received, body);
      } else if (resumedStream || !received.isForwardable()) {
        body.release();
        retryOrFail("no valid answer", CallEnding.FAILED);
      } else if (serverError && tryAcquireRetry()) {
        body.release();
        recordEnding(CallEnding.FAILED);
        retry("status " + received.status().code());
      } else {
        forwardWhole(received, body);
      }
    }

    private void handleNotRun(ResponseAssembler received, ByteBuf body) {
      runCount--;
      recordEnding(CallEnding.NOT_RUN);
      if (received.status().code() == HttpResponseStatus.BAD_REQUEST.code()) {
        forwardWhole(received, body);
        return;
      }
      body.release();
      retryNotRun("refused with status " + received.status().code());
    }

    private void forwardWhole(ResponseAssembler received, ByteBuf body) {
      int status = received.status().code();
      boolean failed = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
      recordEnding(failed ? CallEnding.FAILED : CallEnding.ANSWERED);
      firstResponseNanos = lastByteNanos;
      end(failed ? "upstream-failed" : "answered", status);
      if (responseStarted) {
        exchange.sendPart(body);
        exchange.finishResponse();
      } else {
        exchange.respond(received.status(), callerHeaders(received), body);
      }
    }

    private HttpHeaders callerHeaders(ResponseAssembler received) {
      HttpHeaders headers = new DefaultHttpHeaders().add(received.response().headers());
      HopByHopHeaders.remove(headers);
      context.headerCodec().removeInternalHeaders(headers);
      return headers;
    }

    @Override
    public void connectionBroken(Throwable cause, boolean endedByUpstream) {
      attempt = null;
      if (endedByUpstream) {
        recordBroken();
      }
      log.broken(upstream, "answer", cause);
      retryOrFail("connection broke", CallEnding.BROKEN);
    }

    /** Records that this request may have crashed the upstream. */
    private void recordBroken() {
      RegisteredUpstream broken = upstream;
      // Content that crashes upstreams does so before the first event.
      ImmutableList<Long> keys = attemptHasEvents ? contentKeys.subList(0, 1) : contentKeys;
      context
          .crashes()
          .connectionBroken(broken, keys, () -> log.crashSuspected(broken, contentKeys));
    }

    private void retryOrFail(String cause, CallEnding ending) {
      recordEnding(ending);
      if (tryAcquireRetry()) {
        retry(cause);
      } else {
        fail(HttpResponseStatus.BAD_GATEWAY, cause);
      }
    }

    private void recordEnding(CallEnding ending) {
      context.dispatcher().ended(spec.key(), ending, System.nanoTime());
      if (ending == CallEnding.ANSWERED) {
        context.crashes().answered(contentKeys);
      }
    }
  }

  /** Submits a request again that was refused or could not be sent. */
  private void retryNotRun(String cause) {
    attemptsWithoutRun++;
    boolean refused = !cause.equals(UNREACHABLE_CAUSE);
    if (attemptsWithoutRun > MAX_ATTEMPTS_WITHOUT_RUN
        || (refused && !context.retries().tryAcquire(spec.pool()))) {
      refuse(NotRunReason.REFUSED, RETRY_AFTER_MILLIS);
      return;
    }
    retry(cause);
  }
}

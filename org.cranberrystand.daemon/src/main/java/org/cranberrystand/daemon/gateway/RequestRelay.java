package org.cranberrystand.daemon.gateway;

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
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.CallEnding;
import org.cranberrystand.dispatch.CallSpec;
import org.cranberrystand.dispatch.PlacementChoice;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.routing.Route;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * One admitted request, from its queue to the end of its answer.
 *
 * <p>Statuses that promise that the request did not run are sent only while no upstream can have
 * run it. Used on the event loop only.
 */
final class RequestRelay implements CallerExchange.Listener {
  /** The upstream ends its work at the deadline itself; this is for its answer to come back. */
  private static final long DEADLINE_MARGIN_MILLIS = 150;

  /** Upstreams that refuse or cannot be reached one after the other before the node gives up. */
  private static final int MAX_FRUITLESS_ATTEMPTS = 4;

  /** A repeat needs at least this much time to be of use. */
  private static final long MIN_REPEAT_MILLIS = 50;

  /** An answer without event is given up for a repeat after this multiple of its target. */
  private static final double SILENCE_TARGETS = 1.5;

  /** A stream that may be resumed is taken elsewhere after this long without a byte. */
  private static final long STREAM_SILENCE_MILLIS = 900;

  private static final long REFUSED_RETRY_MILLIS = 300;

  private final RelayContext context;
  private final CallerExchange exchange;
  private final CallerHead caller;
  private final Route route;
  private final Optional<TeamPolicy> team;
  private final CallSpec spec;
  private final long fingerprint;
  private final RelayLog log;

  private UpstreamExchange attempt;
  private RegisteredUpstream upstream;
  private int runs;
  private int fruitless;
  private boolean done;
  private boolean begun;
  private long firstNanos;
  private long lastByteNanos;
  private String lastEventId;
  private AttemptAnswer answer;
  private ScheduledFuture<?> deadline;
  private ScheduledFuture<?> silence;

  RequestRelay(
      RelayContext context,
      CallerExchange exchange,
      CallerHead caller,
      Route route,
      Optional<TeamPolicy> team,
      CallSpec spec) {
    this.context = context;
    this.exchange = exchange;
    this.caller = caller;
    this.route = route;
    this.team = team;
    this.spec = spec;
    this.fingerprint = fingerprint();
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
    if (context.crashes().isRefused(fingerprint, System.nanoTime())) {
      refuse(NotRunReason.QUARANTINED, REFUSED_RETRY_MILLIS);
      return;
    }
    deadline =
        context
            .loop()
            .schedule(
                this::deadlinePassed,
                Math.max(0, spec.deadlineNanos() - System.nanoTime()),
                TimeUnit.NANOSECONDS);
    context.dispatcher().submit(spec, null, System.nanoTime());
  }

  boolean isDone() {
    return done;
  }

  /** Sends the request where the dispatcher decided. */
  void send(RegisteredUpstream chosen, PlacementChoice choice) {
    upstream = chosen;
    lastByteNanos = System.nanoTime();
    runs++;
    log.placed(chosen, choice, runs);
    answer = new AttemptAnswer(new Passing(), route.kind().isStreaming());
    attempt =
        context
            .client()
            .send(
                chosen,
                outgoingRequest(chosen),
                exchange.body().retainedDuplicate(),
                caller.requestId(),
                answer);
    watchSilence();
  }

  private HttpRequest outgoingRequest(RegisteredUpstream chosen) {
    HttpRequest incoming = exchange.request();
    HttpHeaders headers = incoming.headers().copy();
    HopHeaders.remove(headers);
    headers.remove(HttpHeaderNames.CONTENT_LENGTH);
    if (exchange.body().isReadable() || hadBody(incoming)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, exchange.body().readableBytes());
    }
    context
        .dialect()
        .writeRequest(
            headers,
            caller,
            new UpstreamHead(
                chosen.id(),
                team.map(TeamPolicy::name),
                remainingMillis(),
                Optional.ofNullable(lastEventId)));
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, incoming.method(), incoming.uri(), headers);
  }

  private static boolean hadBody(HttpRequest incoming) {
    return incoming.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || incoming.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
  }

  private long remainingMillis() {
    return Math.max(1, millis(spec.deadlineNanos() - System.nanoTime()));
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  /** Answers that the request was not run. */
  void refuse(NotRunReason reason, long retryAfterMillis) {
    if (done) {
      return;
    }
    if (begun) {
      // A stream that was begun has no other way to say that it does not go on.
      end("cut", -1);
      exchange.abort();
      return;
    }
    if (runs > 0) {
      fail(HttpResponseStatus.BAD_GATEWAY, "no upstream answered");
      return;
    }
    giveQuotaBack();
    log.refused(reason, context.dispatcher().waitingCount(), retryAfterMillis);
    end("refused-" + reason.label(), reason.status());
    Refusals.write(
        exchange, HttpResponseStatus.valueOf(reason.status()), reason.label(), retryAfterMillis);
  }

  private void giveQuotaBack() {
    team.ifPresent(t -> context.quotas().refund(t, caller.quotaTokens()));
  }

  private void fail(HttpResponseStatus status, String detail) {
    if (done) {
      return;
    }
    end("failed", status.code());
    if (begun) {
      exchange.abort();
    } else {
      Refusals.write(exchange, status, detail, 0);
    }
  }

  private void end(String outcome, int status) {
    done = true;
    cancelTimers();
    releaseAnswer();
    log.ended(outcome, status, upstream, runs, firstNanos);
    context.metrics().ended(route, outcome, spec.arrivalNanos(), firstNanos, System.nanoTime());
  }

  private void cancelTimers() {
    if (deadline != null) {
      deadline.cancel(false);
    }
    cancelSilence();
  }

  private void cancelSilence() {
    if (silence != null) {
      silence.cancel(false);
      silence = null;
    }
  }

  private void releaseAnswer() {
    if (answer != null) {
      answer.release();
      answer = null;
    }
  }

  @Override
  public void callerGone() {
    if (done) {
      return;
    }
    endAttempt(CallEnding.CANCELLED);
    if (runs == 0) {
      giveQuotaBack();
    }
    end("caller-gone", -1);
  }

  @Override
  public void writable(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  /** Ends the work at the upstream, or the wait for one. */
  private void endAttempt(CallEnding ending) {
    UpstreamExchange ended = attempt;
    attempt = null;
    if (ended != null) {
      ended.cancel();
    }
    if (ended != null && !ending.isUpstreamReachable()) {
      context.client().dropIdle(upstream.id());
    }
    context.dispatcher().ended(spec.key(), ending, System.nanoTime());
  }

  private void deadlinePassed() {
    if (done) {
      return;
    }
    if (attempt == null) {
      context.dispatcher().ended(spec.key(), CallEnding.CANCELLED, System.nanoTime());
      refuse(NotRunReason.DEADLINE, REFUSED_RETRY_MILLIS);
      return;
    }
    long late = System.nanoTime() - spec.deadlineNanos();
    if (late < TimeUnit.MILLISECONDS.toNanos(DEADLINE_MARGIN_MILLIS)) {
      deadline =
          context
              .loop()
              .schedule(this::deadlinePassed, DEADLINE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    endAttempt(begun ? CallEnding.CANCELLED : CallEnding.SILENT);
    fail(HttpResponseStatus.GATEWAY_TIMEOUT, "no answer in time");
  }

  private void watchSilence() {
    cancelSilence();
    if (route.isRetryable()) {
      scheduleSilenceCheck(silenceLimitMillis());
    }
  }

  private long silenceLimitMillis() {
    return firstNanos != 0 && route.kind().isStreaming()
        ? STREAM_SILENCE_MILLIS
        : (long) (route.targetMillis() * SILENCE_TARGETS);
  }

  private void scheduleSilenceCheck(long delayMillis) {
    silence = context.loop().schedule(this::checkSilence, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void checkSilence() {
    if (done || attempt == null) {
      return;
    }
    long quietMillis = millis(System.nanoTime() - lastByteNanos);
    long limitMillis = silenceLimitMillis();
    if (quietMillis < limitMillis) {
      scheduleSilenceCheck(limitMillis - quietMillis);
    } else if (mayRunAgain()) {
      endAttempt(CallEnding.SILENT);
      repeat("silent for " + quietMillis + " ms");
    }
  }

  /** Whether a request that may have run may be sent to another upstream; takes the allowance. */
  private boolean mayRunAgain() {
    // Without the identifier of the last event, a second run would begin the stream anew.
    boolean canGoOn = !begun || lastEventId != null;
    return route.isRetryable()
        && canGoOn
        && runs < route.maxAttempts()
        && millis(spec.deadlineNanos() - System.nanoTime()) > MIN_REPEAT_MILLIS
        && context.retries().tryAcquire(spec.pool());
  }

  private void repeat(String cause) {
    log.repeated(upstream, runs, cause);
    releaseAnswer();
    context.dispatcher().submit(spec, upstream.id(), System.nanoTime());
  }

  /** Passes the answer of an attempt on, or decides what follows if it cannot be passed on. */
  private final class Passing implements AttemptAnswer.Receiver {

    @Override
    public boolean isOver() {
      return done;
    }

    @Override
    public void heard() {
      lastByteNanos = System.nanoTime();
      context.dispatcher().bytesReceived(spec.key(), lastByteNanos);
    }

    @Override
    public void unreachable(Throwable cause) {
      runs--;
      endAttempt(CallEnding.UNREACHABLE);
      log.broken(upstream, "connect", cause);
      placeAgain("not reachable");
    }

    @Override
    public void events(AttemptAnswer came, ByteBuf events, int count, String lastId) {
      if (firstNanos == 0) {
        firstNanos = lastByteNanos;
      }
      context.dispatcher().eventsReceived(spec.key(), count, lastByteNanos);
      beginAnswer(came);
      lastEventId = lastId;
      exchange.send(events);
    }

    private void beginAnswer(AttemptAnswer came) {
      if (!begun) {
        begun = true;
        exchange.begin(came.status(), headersOf(came));
      }
    }

    @Override
    public void part(AttemptAnswer came, ByteBuf part) {
      if (!begun && !came.mayPassOn()) {
        part.release();
        endAttempt(CallEnding.FAILED);
        fail(HttpResponseStatus.BAD_GATEWAY, "the upstream gave no valid answer");
        return;
      }
      beginAnswer(came);
      exchange.send(part);
    }

    @Override
    public void streamEnded(AttemptAnswer came, boolean insideEvent) {
      attempt = null;
      if (insideEvent || !begun) {
        // An upstream that stops inside an event, or before the first one, did not finish.
        brokeOff("incomplete stream", CallEnding.FAILED);
        return;
      }
      ended(CallEnding.ANSWERED);
      end("answered", came.status().code());
      exchange.finish();
    }

    @Override
    public void answered(AttemptAnswer came, ByteBuf body) {
      attempt = null;
      boolean continuesStream = begun && route.kind().isStreaming();
      boolean serverError = came.status().codeClass() == HttpStatusClass.SERVER_ERROR;
      if (came.isNotRun()) {
        notRun(came, body);
      } else if (continuesStream || !came.mayPassOn()) {
        body.release();
        brokeOff("no valid answer", CallEnding.FAILED);
      } else if (serverError && mayRunAgain()) {
        body.release();
        ended(CallEnding.FAILED);
        repeat("status " + came.status().code());
      } else {
        passOn(came, body);
      }
    }

    private void notRun(AttemptAnswer came, ByteBuf body) {
      runs--;
      ended(CallEnding.NOT_RUN);
      if (came.status().code() == HttpResponseStatus.BAD_REQUEST.code()) {
        passOn(came, body);
        return;
      }
      body.release();
      placeAgain("refused with " + came.status().code());
    }

    private void passOn(AttemptAnswer came, ByteBuf body) {
      int status = came.status().code();
      boolean failed = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
      ended(failed ? CallEnding.FAILED : CallEnding.ANSWERED);
      firstNanos = lastByteNanos;
      end(failed ? "upstream-failed" : "answered", status);
      if (begun) {
        exchange.send(body);
        exchange.finish();
      } else {
        exchange.respond(came.status(), headersOf(came), body);
      }
    }

    private HttpHeaders headersOf(AttemptAnswer came) {
      HttpHeaders headers = new DefaultHttpHeaders().add(came.response().headers());
      HopHeaders.remove(headers);
      context.dialect().cleanAnswer(headers);
      return headers;
    }

    @Override
    public void broken(Throwable cause) {
      attempt = null;
      context.crashes().crashed(fingerprint, System.nanoTime());
      log.broken(upstream, "answer", cause);
      brokeOff("connection broke", CallEnding.BROKEN);
    }

    private void brokeOff(String cause, CallEnding ending) {
      ended(ending);
      if (mayRunAgain()) {
        repeat(cause);
      } else {
        fail(HttpResponseStatus.BAD_GATEWAY, cause);
      }
    }

    private void ended(CallEnding ending) {
      context.dispatcher().ended(spec.key(), ending, System.nanoTime());
      if (ending == CallEnding.ANSWERED) {
        context.crashes().answered(fingerprint);
      }
    }
  }

  /** Submits a request again that its upstream did not run. */
  private void placeAgain(String cause) {
    fruitless++;
    boolean wasRefused = !cause.equals("not reachable");
    if (fruitless > MAX_FRUITLESS_ATTEMPTS
        || (wasRefused && !context.retries().tryAcquire(spec.pool()))) {
      refuse(NotRunReason.REFUSED, REFUSED_RETRY_MILLIS);
      return;
    }
    repeat(cause);
  }
}

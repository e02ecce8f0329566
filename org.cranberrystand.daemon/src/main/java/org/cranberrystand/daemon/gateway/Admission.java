package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.CallSpec;
import org.cranberrystand.dispatch.DispatchOutput;
import org.cranberrystand.dispatch.PlacementChoice;
import org.cranberrystand.dispatch.StreamInference;
import org.cranberrystand.dispatch.StreamOrigins;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.routing.Route;
import org.cranberrystand.routing.RouteMatch;
import org.cranberrystand.routing.RoutingTable;
import org.cranberrystand.routing.ServicePool;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Decides by the current declaration whether a caller's request may run, and starts its relay. Used
 * only on the event loop.
 */
final class Admission implements DispatchOutput, CallerServer.RequestHandler {
  private static final long NOT_READY_RETRY_MILLIS = 500;

  /**
   * Callers abandon a stream without a first event after the longest of this time and the following
   * multiples of the route's target latency and target gap between events.
   */
  private static final long MIN_FIRST_EVENT_WAIT_MILLIS = 2_000;

  private static final long FIRST_EVENT_WAIT_TARGETS = 4;
  private static final long FIRST_EVENT_WAIT_GAPS = 8;

  /** Another node can serve the request at once. */
  static final long LEAVING_RETRY_MILLIS = 50;

  private static final long QUOTA_RETRY_MILLIS = 1_000;

  /** Another node may know the stream, or this one may have just started. */
  private static final long UNKNOWN_STREAM_RETRY_MILLIS = 300;

  /**
   * A request is refused if the event loop lags by this time or by a fraction of the caller's
   * timeout, because the caller has probably disconnected by then.
   */
  private static final long MAX_LAG_MILLIS = 1_000;

  private static final int LAG_WAIT_DIVISOR = 3;

  /** A lagging event loop needs about as long to catch up. */
  private static final long LAG_RETRY_MILLIS = 500;

  /** Route priorities are below this limit, so the priority of the team outranks them. */
  private static final int ROUTE_PRIORITY_LIMIT = 64;

  /** The platform declares no weights, so all teams of a priority have equal shares. */
  private static final double TEAM_WEIGHT = 1;

  /** Interval, in admitted requests, at which finished relays are removed. */
  private static final int SWEEP_INTERVAL_REQUESTS = 16;

  private final SplittableRandom random;
  private final Map<Long, RequestRelay> relays = new HashMap<>();
  private RelayContext context;
  private RefusalLog refusals;
  private ContinuedPlacements continuedPlacements;
  private PresenceCheck presence;
  private long lastCallKey;

  Admission(long seed) {
    this.random = new SplittableRandom(seed);
  }

  void setContext(RelayContext value) {
    context = value;
    refusals = new RefusalLog(value.log()::write, this::afterPeriod);
    continuedPlacements = new ContinuedPlacements(value.loop(), value.verifier());
    presence = new PresenceCheck(value.loop());
  }

  private void afterPeriod(Runnable task) {
    context.loop().schedule(task, RefusalLog.PERIOD_MILLIS, TimeUnit.MILLISECONDS).isDone();
  }

  int activeRequestCount() {
    relays.values().removeIf(RequestRelay::isDone);
    return relays.size()
        + presence.pendingCount()
        + context.streams().pendingCount()
        + context.versions().pendingCount();
  }

  /** Admits or rejects a completely received request of a caller. */
  @Override
  public void handleRequest(CallerExchange exchange) {
    long now = System.nanoTime();
    long lagNanos = context.lag().lagNanos(now);
    if (lagNanos > 0) {
      presence.run(exchange, () -> handleRequest(exchange, now - lagNanos, lagNanos));
    } else {
      handleRequest(exchange, now, 0);
    }
  }

  private void handleRequest(CallerExchange exchange, long arrivalNanos, long lagNanos) {
    CallerHeaders caller = context.headerCodec().readRequest(exchange.request().headers());
    RoutingTable table = context.routing().get();
    if (table == null) {
      rejectNotRun(exchange, caller, NotRunReason.NOT_READY, NOT_READY_RETRY_MILLIS, "");
      return;
    }
    HttpRequest request = exchange.request();
    RouteMatch match = table.find(host(request), path(request), caller.apiKey());
    if (match instanceof RouteMatch.Matched matched) {
      Route route = matched.route();
      long waitMillis = waitMillis(caller, route);
      long lagMillis = TimeUnit.NANOSECONDS.toMillis(lagNanos);
      long deadlineNanos = arrivalNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis);
      if (!context.shutdown().maySend(route, deadlineNanos)) {
        rejectNotRun(exchange, caller, NotRunReason.LEAVING, LEAVING_RETRY_MILLIS, "");
      } else if (lagMillis >= Math.min(MAX_LAG_MILLIS, waitMillis / LAG_WAIT_DIVISOR)) {
        // The caller has probably disconnected, and its request must not run without it.
        String inputs = " loop_lag_ms=" + lagMillis;
        rejectNotRun(exchange, caller, NotRunReason.OVERLOADED, LAG_RETRY_MILLIS, inputs);
      } else {
        findOrigin(exchange, caller, route, matched.team(), arrivalNanos);
      }
    } else if (match instanceof RouteMatch.KeyRefused) {
      deny(exchange, caller, HttpResponseStatus.UNAUTHORIZED, "no team holds the key", table);
    } else {
      deny(exchange, caller, HttpResponseStatus.NOT_FOUND, "no route takes the path", table);
    }
  }

  /** Refuses the waiting requests whose content crashes upstreams. */
  void refuseQuarantined() {
    ImmutableList.copyOf(relays.values()).forEach(RequestRelay::refuseIfQuarantined);
  }

  /** Refuses the requests that have not been sent and cannot end before the gateway does. */
  void refuseLate() {
    ImmutableList.copyOf(relays.values()).forEach(RequestRelay::refuseIfLate);
  }

  /** Gives all requests their final answer, before the gateway ends. */
  void endAll() {
    ImmutableList.copyOf(relays.values()).forEach(RequestRelay::endWithNode);
  }

  /** Forwards the requests that wait for pools which this node does not reach. */
  void forwardWaiting() {
    ImmutableList.copyOf(relays.values()).forEach(RequestRelay::forwardWaiting);
  }

  private static String host(HttpRequest request) {
    String value = request.headers().get(HttpHeaderNames.HOST, "");
    try {
      return HostAndPort.fromString(value).getHost();
    } catch (IllegalArgumentException e) {
      // The routing table contains no such host, so the caller gets a 404.
      return value;
    }
  }

  private static String path(HttpRequest request) {
    String uri = request.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  /** Admits a request, and first finds out where its stream began if the caller resumes one. */
  private void findOrigin(
      CallerExchange exchange,
      CallerHeaders caller,
      Route route,
      Optional<TeamPolicy> team,
      long arrivalNanos) {
    boolean resumes =
        route.isResumable() && caller.lastEventId() != null && caller.resumedStream() != null;
    if (!resumes) {
      admit(exchange, caller, route, team, Optional.empty(), arrivalNanos);
      return;
    }
    ResumedRequest resumed = new ResumedRequest(arrivalNanos);
    boolean isKnown = context.streams().known(caller.resumedStream()).isPresent();
    Optional<StreamOrigins.Origin> run = context.versions().provenByRun(caller.resumedStream());
    // A run may be of an attempt that was abandoned before its first event arrived.
    if (!isKnown && run.isPresent()) {
      resume(exchange, caller, route, team, resumed, run, StreamInference.Basis.RUN.toString());
      return;
    }
    exchange.setListener(resumed);
    context
        .streams()
        .find(
            caller.resumedStream(),
            origin -> {
              if (origin.isPresent()) {
                resume(exchange, caller, route, team, resumed, origin, "known");
              } else if (!resumed.disconnected) {
                inferOrigin(exchange, caller, route, team, resumed);
              }
            });
  }

  private void inferOrigin(
      CallerExchange exchange,
      CallerHeaders caller,
      Route route,
      Optional<TeamPolicy> team,
      ResumedRequest resumed) {
    context
        .versions()
        .find(
            caller.resumedStream(),
            route,
            host(exchange.request()),
            path(exchange.request()),
            result -> {
              result.origin().ifPresent(context.streams()::inferred);
              String basis = result.basis().toString();
              resume(exchange, caller, route, team, resumed, result.origin(), basis);
            });
  }

  /** Admits a request that resumes a stream, if it is known where the stream began. */
  private void resume(
      CallerExchange exchange,
      CallerHeaders caller,
      Route route,
      Optional<TeamPolicy> team,
      ResumedRequest resumed,
      Optional<StreamOrigins.Origin> origin,
      String basis) {
    if (resumed.disconnected) {
      return;
    }
    if (origin.isPresent() && route.usesPool(origin.get().pool())) {
      admit(exchange, caller, route, team, origin, resumed.arrivalNanos);
    } else {
      rejectNotRun(
          exchange,
          caller,
          NotRunReason.UNKNOWN_STREAM,
          UNKNOWN_STREAM_RETRY_MILLIS,
          " stream="
              + LoggedText.of(caller.resumedStream())
              + " basis="
              + basis
              + " origin="
              + origin);
    }
  }

  /** Watches the caller's connection until it is known where the stream began. */
  private static final class ResumedRequest implements CallerExchange.Listener {
    private final long arrivalNanos;
    private boolean disconnected;

    ResumedRequest(long arrivalNanos) {
      this.arrivalNanos = arrivalNanos;
    }

    @Override
    public void callerDisconnected() {
      disconnected = true;
    }

    @Override
    public void writabilityChanged(boolean writable) {
      // Nothing is sent yet.
    }
  }

  private void admit(
      CallerExchange exchange,
      CallerHeaders caller,
      Route route,
      Optional<TeamPolicy> team,
      Optional<StreamOrigins.Origin> origin,
      long arrivalNanos) {
    long now = System.nanoTime();
    String pool =
        origin
            .map(StreamOrigins.Origin::pool)
            .orElseGet(() -> route.choosePool(random.nextDouble()));
    boolean spareCapacity = context.dispatcher().hasSpareCapacity(pool, now);
    if (team.isPresent()
        && !context.quotas().tryConsume(team.get(), caller.quotaTokens(), spareCapacity, now)) {
      rejectNotRun(
          exchange,
          caller,
          NotRunReason.TEAM_LIMIT,
          QUOTA_RETRY_MILLIS,
          " team="
              + team.get().name()
              + " tokens="
              + caller.quotaTokens()
              + " balance_units="
              + Math.round(context.quotas().balanceUnits(team.get().name()))
              + " units_per_second="
              + Math.round(team.get().quota().unitsPerSecond())
              + " spare_capacity="
              + spareCapacity);
      return;
    }
    if (!ForwardedRequest.read(exchange.request().headers()).isForwarded()) {
      context.retries().requestReceived(pool);
    }
    CallSpec begun = buildSpec(caller, route, team, pool, arrivalNanos);
    CallSpec spec =
        origin.map(StreamOrigins.Origin::softwareVersion).map(begun::continuedAt).orElse(begun);
    RequestRelay relay = new RequestRelay(context, exchange, caller, route, team, spec);
    relays.put(spec.key(), relay);
    relay.start();
    if (lastCallKey % SWEEP_INTERVAL_REQUESTS == 0) {
      relays.values().removeIf(RequestRelay::isDone);
      continuedPlacements.retain(relays.keySet());
    }
  }

  private CallSpec buildSpec(
      CallerHeaders caller, Route route, Optional<TeamPolicy> team, String pool, long arrival) {
    long waitMillis = waitMillis(caller, route);
    int teamRank = team.flatMap(t -> t.priority().stream().boxed().findFirst()).orElse(0);
    return CallSpec.builder(++lastCallKey, pool)
        .streaming(route.kind().isStreaming())
        .priority(teamRank * ROUTE_PRIORITY_LIMIT + route.priority())
        .size(caller.promptTokens(), caller.expectedOutputTokens() / tokensPerEvent(pool))
        .prefix(caller.prefixKey(), caller.prefixTokens())
        .streamTiming(
            TimeUnit.MILLISECONDS.toNanos(route.gapTargetMillis()), firstEventWaitNanos(route))
        .times(
            arrival,
            arrival + TimeUnit.MILLISECONDS.toNanos(route.targetMillis()),
            arrival + TimeUnit.MILLISECONDS.toNanos(waitMillis))
        .team(team.map(TeamPolicy::name).orElse(""), TEAM_WEIGHT, caller.quotaTokens())
        .build();
  }

  private static long waitMillis(CallerHeaders caller, Route route) {
    return caller.waitMillis() > 0
        ? Math.min(caller.waitMillis(), route.timeoutMillis())
        : route.timeoutMillis();
  }

  private double tokensPerEvent(String pool) {
    ServicePool declared = context.routing().get().pools().get(pool);
    return declared == null || declared.eventTokens() == 0 ? 1 : declared.eventTokens();
  }

  /**
   * Returns how long the caller waits for the first event of a stream; unlimited for other routes.
   */
  private static long firstEventWaitNanos(Route route) {
    if (!route.kind().isStreaming()) {
      return Long.MAX_VALUE;
    }
    long millis =
        Math.max(
            MIN_FIRST_EVENT_WAIT_MILLIS,
            Math.max(
                FIRST_EVENT_WAIT_TARGETS * route.targetMillis(),
                FIRST_EVENT_WAIT_GAPS * route.gapTargetMillis()));
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void deny(
      CallerExchange exchange,
      CallerHeaders caller,
      HttpResponseStatus status,
      String detail,
      RoutingTable table) {
    recordDenied(exchange.request(), caller, status, detail, table);
    ErrorResponses.write(exchange, status, detail, 0);
  }

  @Override
  public void requestRejected(HttpRequest request, HttpResponseStatus status, String cause) {
    CallerHeaders caller =
        request == null ? null : context.headerCodec().readRequest(request.headers());
    recordDenied(request, caller, status, cause, context.routing().get());
  }

  /** Records that a caller is told that its request is wrong, with what that was decided by. */
  private void recordDenied(
      HttpRequest request,
      CallerHeaders caller,
      HttpResponseStatus status,
      String cause,
      RoutingTable table) {
    refusals.write(
        LogEvent.REQUEST_DENIED,
        String.valueOf(status.code()),
        "request="
            + LoggedText.of(caller == null ? null : caller.requestId())
            + " status="
            + status.code()
            + " cause="
            + LoggedText.of(cause)
            + " host="
            + LoggedText.of(request == null ? null : host(request))
            + " path="
            + LoggedText.of(request == null ? null : path(request))
            + " key="
            + LoggedText.digestOf(caller == null ? null : caller.apiKey())
            + " version="
            + (table == null ? "none" : table.version())
            + " teams="
            + (table == null ? 0 : table.teams().size()));
    context.metrics().recordRejected(status.code());
  }

  private void rejectNotRun(
      CallerExchange exchange,
      CallerHeaders caller,
      NotRunReason reason,
      long retryAfterMillis,
      String inputs) {
    refusals.write(
        LogEvent.REQUEST_REFUSED,
        reason.label(),
        "request="
            + LoggedText.of(caller.requestId())
            + " reason="
            + reason.label()
            + " retry_after_ms="
            + retryAfterMillis
            + inputs);
    context.metrics().recordRejected(reason.status());
    ErrorResponses.refuse(exchange, reason, retryAfterMillis);
  }

  @Override
  public void send(CallSpec call, RegisteredUpstream upstream, PlacementChoice choice) {
    RequestRelay relay = relays.get(call.key());
    if (call.isContinued()) {
      continuedPlacements.send(relay, upstream, choice);
    } else {
      relay.send(upstream, choice);
    }
  }

  @Override
  public void refuse(CallSpec call, NotRunReason reason, long retryAfterMillis) {
    relays.get(call.key()).refuse(reason, retryAfterMillis);
  }
}

package org.cranberrystand.daemon.gateway;

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
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.routing.Route;
import org.cranberrystand.routing.RouteMatch;
import org.cranberrystand.routing.RoutingTable;
import org.cranberrystand.routing.ServicePool;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Decides by the declaration in force whether a caller's request may be served, and starts its
 * relay. Used on the event loop only.
 */
final class Admission implements DispatchOutput {
  private static final long NOT_READY_RETRY_MILLIS = 500;

  /** Callers leave a stream after this pause, or after these multiples of their targets. */
  private static final long MIN_PATIENCE_MILLIS = 2_000;

  private static final long PATIENCE_TARGETS = 4;
  private static final long PATIENCE_GAPS = 8;

  private static final long LEAVING_RETRY_MILLIS = 50;
  private static final long QUOTA_RETRY_MILLIS = 1_000;

  /** Callers leave a request that is not read after this time or a third of the time they have. */
  private static final long MAX_LAG_MILLIS = 1_000;

  private static final int UNREAD_WAIT_PARTS = 3;

  /** A loop that is behind by so much needs about as long to catch up. */
  private static final long BEHIND_RETRY_MILLIS = 500;

  /** Ranks of teams go before ranks of routes, which are smaller than this. */
  private static final int ROUTE_RANKS = 64;

  /** Ended relays are removed once in this many requests. */
  private static final int SWEEP_INTERVAL = 16;

  private final SplittableRandom random;
  private final Map<Long, RequestRelay> relays = new HashMap<>();
  private RelayContext context;
  private long lastKey;

  Admission(long seed) {
    this.random = new SplittableRandom(seed);
  }

  void setContext(RelayContext value) {
    context = value;
  }

  int activeCount() {
    relays.values().removeIf(RequestRelay::isDone);
    return relays.size();
  }

  /** Takes a whole request of a caller. */
  void received(CallerExchange exchange) {
    CallerHead caller = context.dialect().readRequest(exchange.request().headers());
    RoutingTable table = context.routing().get();
    if (table == null) {
      reject(exchange, caller, NotRunReason.NOT_READY, NOT_READY_RETRY_MILLIS, "");
      return;
    }
    if (context.leaving().get()) {
      reject(exchange, caller, NotRunReason.LEAVING, LEAVING_RETRY_MILLIS, "");
      return;
    }
    HttpRequest request = exchange.request();
    RouteMatch match = table.find(host(request), path(request), caller.key());
    if (match instanceof RouteMatch.Matched matched) {
      admit(exchange, caller, matched.route(), matched.team());
    } else if (match instanceof RouteMatch.KeyRefused) {
      deny(exchange, caller, HttpResponseStatus.UNAUTHORIZED, "no team holds the key", table);
    } else {
      deny(exchange, caller, HttpResponseStatus.NOT_FOUND, "no route takes the path", table);
    }
  }

  private static String host(HttpRequest request) {
    String value = request.headers().get(HttpHeaderNames.HOST, "");
    try {
      return HostAndPort.fromString(value).getHost();
    } catch (IllegalArgumentException e) {
      // No route has such a host, so the caller is told that none matches.
      return value;
    }
  }

  private static String path(HttpRequest request) {
    String uri = request.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  private void admit(
      CallerExchange exchange, CallerHead caller, Route route, Optional<TeamPolicy> team) {
    long now = System.nanoTime();
    long lagMillis = TimeUnit.NANOSECONDS.toMillis(context.lag().nanos(now));
    if (lagMillis >= Math.min(MAX_LAG_MILLIS, waitMillis(caller, route) / UNREAD_WAIT_PARTS)) {
      // The caller has probably left, and what it sent must not run without it.
      String inputs = " loop_lag_ms=" + lagMillis;
      reject(exchange, caller, NotRunReason.OVERLOADED, BEHIND_RETRY_MILLIS, inputs);
      return;
    }
    if (team.isPresent() && !context.quotas().tryConsume(team.get(), caller.quotaTokens(), now)) {
      reject(
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
              + Math.round(team.get().quota().unitsPerSecond()));
      return;
    }
    String pool = route.choosePool(random.nextDouble());
    context.retries().requestReceived(pool);
    CallSpec spec = spec(caller, route, team, pool, now - context.lag().nanos(now));
    RequestRelay relay = new RequestRelay(context, exchange, caller, route, team, spec);
    relays.put(spec.key(), relay);
    relay.start();
    if (lastKey % SWEEP_INTERVAL == 0) {
      relays.values().removeIf(RequestRelay::isDone);
    }
  }

  private CallSpec spec(
      CallerHead caller, Route route, Optional<TeamPolicy> team, String pool, long arrival) {
    long waitMillis = waitMillis(caller, route);
    int teamRank = team.flatMap(t -> t.priority().stream().boxed().findFirst()).orElse(0);
    return CallSpec.builder(++lastKey, pool)
        .streaming(route.kind().isStreaming())
        .priority(teamRank * ROUTE_RANKS + route.priority())
        .size(caller.promptTokens(), caller.expectedOutputTokens() / eventTokens(pool))
        .prefix(caller.sharedKey(), caller.sharedTokens())
        .streamTiming(TimeUnit.MILLISECONDS.toNanos(route.gapTargetMillis()), patienceNanos(route))
        .times(
            arrival,
            arrival + TimeUnit.MILLISECONDS.toNanos(route.targetMillis()),
            arrival + TimeUnit.MILLISECONDS.toNanos(waitMillis))
        .build();
  }

  private static long waitMillis(CallerHead caller, Route route) {
    return caller.waitMillis() > 0
        ? Math.min(caller.waitMillis(), route.timeoutMillis())
        : route.timeoutMillis();
  }

  private double eventTokens(String pool) {
    ServicePool declared = context.routing().get().pools().get(pool);
    return declared == null || declared.eventTokens() == 0 ? 1 : declared.eventTokens();
  }

  /** Callers leave a stream without a first event after the longest of three times. */
  private static long patienceNanos(Route route) {
    if (!route.kind().isStreaming()) {
      return Long.MAX_VALUE;
    }
    long millis =
        Math.max(
            MIN_PATIENCE_MILLIS,
            Math.max(
                PATIENCE_TARGETS * route.targetMillis(), PATIENCE_GAPS * route.gapTargetMillis()));
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void deny(
      CallerExchange exchange,
      CallerHead caller,
      HttpResponseStatus status,
      String detail,
      RoutingTable table) {
    context
        .log()
        .write(
            LogEvent.REQUEST_DENIED,
            "request="
                + caller.requestId()
                + " status="
                + status.code()
                + " cause="
                + detail
                + " version="
                + table.version());
    context.metrics().denied(status.code());
    Refusals.write(exchange, status, detail, 0);
  }

  private void reject(
      CallerExchange exchange,
      CallerHead caller,
      NotRunReason reason,
      long retryAfterMillis,
      String inputs) {
    context
        .log()
        .write(
            LogEvent.REQUEST_REFUSED,
            "request="
                + caller.requestId()
                + " reason="
                + reason.label()
                + " retry_after_ms="
                + retryAfterMillis
                + inputs);
    context.metrics().denied(reason.status());
    Refusals.write(
        exchange, HttpResponseStatus.valueOf(reason.status()), reason.label(), retryAfterMillis);
  }

  @Override
  public void send(CallSpec call, RegisteredUpstream upstream, PlacementChoice choice) {
    relays.get(call.key()).send(upstream, choice);
  }

  @Override
  public void refuse(CallSpec call, NotRunReason reason, long retryAfterMillis) {
    relays.get(call.key()).refuse(reason, retryAfterMillis);
  }
}

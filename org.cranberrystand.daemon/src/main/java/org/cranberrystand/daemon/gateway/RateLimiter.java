package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Sets;
import java.util.Collection;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.ColdDuration;
import org.cranberrystand.dispatch.ColdUpstreams;
import org.cranberrystand.dispatch.RateBound;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.PeerTable;
import org.cranberrystand.membership.RateShare;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Keeps this node to its share of the rates that upstreams accept: those that state a limit, and
 * those that are cold. Used only on the event loop.
 */
final class RateLimiter {
  /** A longer time between two ticks means that this node did not run. */
  private static final long MAX_TICK_GAP_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Building a share takes as long as some tens of placements. */
  private static final long SHARE_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final UpstreamStatements statements;
  private final CallDispatcher dispatcher;
  private final PeerTable peers;
  private final ColdUpstreams cold;
  private final FleetState fleet;
  private final EventLog log;
  private ImmutableMap<String, ColdUpstreams.Cold> loggedCold = ImmutableMap.of();
  private RateShare share;
  private long shareNanos;
  private boolean limited;
  private long tickNanos = System.nanoTime();

  RateLimiter(
      CallDispatcher dispatcher,
      PeerTable peers,
      ColdUpstreams cold,
      FleetState fleet,
      EventLog log) {
    this.dispatcher = dispatcher;
    this.peers = peers;
    this.cold = cold;
    this.fleet = fleet;
    this.log = log;
    this.statements =
        new UpstreamStatements(
            "limit", LogEvent.UPSTREAM_LIMITED, log, () -> updateIntervals(System.nanoTime()));
    if (cold.isEnabled()) {
      dispatcher.setContactLostListener(
          upstream -> treatAsCold(ImmutableList.of(upstream), ColdUpstreams.Cause.CONTACT_LOST));
      updateIntervals(System.nanoTime());
    }
  }

  UpstreamStatements statements() {
    return statements;
  }

  /** Returns the number of upstreams that count as cold. */
  int coldCount() {
    return loggedCold.size();
  }

  /** Notices that this node did not run for some time; to be called at short intervals. */
  void tick(long nowNanos) {
    boolean resumed = nowNanos - tickNanos > MAX_TICK_GAP_NANOS;
    tickNanos = nowNanos;
    if (resumed) {
      treatAsCold(fleet.upstreams(), ColdUpstreams.Cause.NODE_RESUMED);
    }
  }

  /** Adapts the shares to the nodes that are alive; to be called several times per second. */
  void refresh(long nowNanos) {
    statements.expire(nowNanos);
    cold.expire(nowNanos);
    ImmutableMap<String, ColdUpstreams.Cold> coldNow = cold.cold(nowNanos);
    boolean anyCold = !coldNow.isEmpty() || !loggedCold.isEmpty();
    if (limited || statements.limitedCount() > 0 || anyCold) {
      updateIntervals(nowNanos);
    }
    if (anyCold) {
      logCold(coldNow, nowNanos);
    }
  }

  /**
   * Treats upstreams as cold for the time that their pools declare, unless they state another one
   * later.
   */
  void treatAsCold(Collection<RegisteredUpstream> upstreams, ColdUpstreams.Cause cause) {
    if (cold.treatAsCold(upstreams, cause, System.nanoTime())) {
      dispatcher.minSendIntervalsChanged(this::minIntervalNanos);
    }
  }

  /** Applies what the response to a request that was sent at a time says of being cold. */
  void coldStated(RegisteredUpstream upstream, ColdDuration duration, long sentNanos) {
    if (!cold.isEnabled()) {
      return;
    }
    if (!duration.isValid()) {
      log.write(
          LogEvent.HEADER_IGNORED,
          "header=cold upstream=" + upstream.id() + " value=" + duration.statedValue());
    }
    cold.stated(upstream, duration, sentNanos, System.nanoTime());
    dispatcher.minSendIntervalsChanged(this::minIntervalNanos);
  }

  private void updateIntervals(long nowNanos) {
    limited = statements.limitedCount() > 0;
    updateShare(nowNanos);
    dispatcher.minSendIntervalsChanged(this::minIntervalNanos);
  }

  private void updateShare(long nowNanos) {
    share = peers.rateShare(nowNanos);
    shareNanos = nowNanos;
  }

  /** Called for all upstreams after each change of the registrations and of the shares. */
  private long minIntervalNanos(RegisteredUpstream upstream) {
    double perSecond = statements.perSecond(upstream);
    long statedNanos =
        Double.isFinite(perSecond)
            ? share.minIntervalNanos(upstream.id(), RateBound.ofStatedLimit(perSecond))
            : 0;
    return Math.max(statedNanos, coldIntervalNanos(upstream));
  }

  private long coldIntervalNanos(RegisteredUpstream upstream) {
    long now = System.nanoTime();
    if (now - shareNanos > SHARE_LIFETIME_NANOS) {
      updateShare(now);
    }
    return cold.bound(upstream, now)
        .map(bound -> share.minIntervalNanos(upstream.id(), bound))
        .orElse(0L);
  }

  private void logCold(ImmutableMap<String, ColdUpstreams.Cold> coldNow, long nowNanos) {
    ImmutableMap.Builder<String, ColdUpstreams.Cold> usable = ImmutableMap.builder();
    for (RegisteredUpstream upstream : fleet.upstreams()) {
      ColdUpstreams.Cold one = coldNow.get(upstream.id());
      if (one != null) {
        usable.put(upstream.id(), one);
        if (!loggedCold.containsKey(upstream.id())) {
          logCold(upstream, one, nowNanos);
        }
      }
    }
    ImmutableMap<String, ColdUpstreams.Cold> before = loggedCold;
    loggedCold = usable.buildOrThrow();
    for (String id : Sets.difference(before.keySet(), loggedCold.keySet())) {
      log.write(LogEvent.UPSTREAM_WARM, "upstream=" + id);
    }
  }

  private void logCold(RegisteredUpstream upstream, ColdUpstreams.Cold one, long nowNanos) {
    long interval =
        cold.bound(upstream, nowNanos)
            .map(bound -> share.minIntervalNanos(upstream.id(), bound))
            .orElse(0L);
    log.write(
        LogEvent.UPSTREAM_COLD,
        "upstream="
            + upstream.id()
            + " cause="
            + one.cause()
            + " ms="
            + one.remainingMillis()
            + " per_second="
            + one.perSecond()
            + " interval_ms="
            + (interval == UpstreamLimits.NEVER ? -1 : interval / 1_000_000));
  }
}

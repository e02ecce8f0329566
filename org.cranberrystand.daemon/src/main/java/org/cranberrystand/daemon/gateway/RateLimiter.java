package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.RateLimit;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.PeerTable;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Keeps this node to its share of the rate limits that upstreams state. Used only on the event
 * loop.
 */
final class RateLimiter {
  private final UpstreamLimits limits = new UpstreamLimits();
  private final CallDispatcher dispatcher;
  private final PeerTable peers;
  private final EventLog log;
  private boolean limited;

  RateLimiter(CallDispatcher dispatcher, PeerTable peers, EventLog log) {
    this.dispatcher = dispatcher;
    this.peers = peers;
    this.log = log;
  }

  /**
   * Applies what a response says of the limit of its upstream.
   *
   * @param upstream the upstream
   * @param limit the stated limit
   * @param sentNanos when the request was sent
   */
  void stated(RegisteredUpstream upstream, RateLimit limit, long sentNanos) {
    long now = System.nanoTime();
    if (!limit.isValid()) {
      log.write(LogEvent.HEADER_IGNORED, "header=limit upstream=" + upstream.id());
    }
    double before = limits.perSecond(upstream);
    if (limits.stated(upstream, limit, sentNanos, now)) {
      updateIntervals(now);
      log.write(
          LogEvent.UPSTREAM_LIMITED,
          "upstream="
              + upstream.id()
              + " per_second="
              + limit.perSecond()
              + " before="
              + before
              + " interval_ms="
              + intervalMillis(upstream, now)
              + " source=answer");
    }
  }

  private String intervalMillis(RegisteredUpstream upstream, long nowNanos) {
    long nanos = minIntervalNanos(upstream, peers.cellWeights(nowNanos), nowNanos);
    return nanos == UpstreamLimits.NEVER ? "never" : Long.toString(nanos / 1_000_000);
  }

  /** Applies the limits that another node reported. */
  void reported(String peer, ImmutableList<UpstreamLimits.Report> reports) {
    long now = System.nanoTime();
    for (UpstreamLimits.Report report : reports) {
      if (limits.reported(report, now)) {
        updateIntervals(now);
        log.write(
            LogEvent.UPSTREAM_LIMITED,
            "upstream="
                + report.incarnation()
                + " per_second="
                + report.perSecond()
                + " age_ms="
                + report.ageNanos() / 1_000_000
                + " source="
                + peer);
      }
    }
  }

  /** Returns the limits to report to other nodes. */
  ImmutableList<UpstreamLimits.Report> reports() {
    return limits.reports(System.nanoTime());
  }

  /** Returns the number of upstreams with a limit. */
  int limitedCount() {
    return limits.limitedCount();
  }

  /** Adapts the shares to the nodes that are alive; to be called several times per second. */
  void refresh(long nowNanos) {
    limits.expire(nowNanos);
    if (limited || limits.limitedCount() > 0) {
      updateIntervals(nowNanos);
    }
  }

  private void updateIntervals(long nowNanos) {
    limited = limits.limitedCount() > 0;
    ImmutableList<Double> weights = peers.cellWeights(nowNanos);
    dispatcher.minSendIntervalsChanged(upstream -> minIntervalNanos(upstream, weights, nowNanos));
  }

  private long minIntervalNanos(
      RegisteredUpstream upstream, ImmutableList<Double> cellWeights, long nowNanos) {
    double perSecond = limits.perSecond(upstream);
    return Double.isFinite(perSecond)
        ? peers.minSendIntervalNanos(upstream.id(), perSecond, cellWeights, nowNanos)
        : 0;
  }
}

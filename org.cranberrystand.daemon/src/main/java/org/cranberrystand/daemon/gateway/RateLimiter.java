package org.cranberrystand.daemon.gateway;

import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.RateBound;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.PeerTable;
import org.cranberrystand.membership.RateShare;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Keeps this node to its share of the rate limits that upstreams state. Used only on the event
 * loop.
 */
final class RateLimiter {
  private final UpstreamStatements statements;
  private final CallDispatcher dispatcher;
  private final PeerTable peers;
  private boolean limited;

  RateLimiter(CallDispatcher dispatcher, PeerTable peers, EventLog log) {
    this.dispatcher = dispatcher;
    this.peers = peers;
    this.statements =
        new UpstreamStatements(
            "limit", LogEvent.UPSTREAM_LIMITED, log, () -> updateIntervals(System.nanoTime()));
  }

  UpstreamStatements statements() {
    return statements;
  }

  /** Adapts the shares to the nodes that are alive; to be called several times per second. */
  void refresh(long nowNanos) {
    statements.expire(nowNanos);
    if (limited || statements.limitedCount() > 0) {
      updateIntervals(nowNanos);
    }
  }

  private void updateIntervals(long nowNanos) {
    limited = statements.limitedCount() > 0;
    RateShare share = peers.rateShare(nowNanos);
    dispatcher.minSendIntervalsChanged(upstream -> minIntervalNanos(upstream, share));
  }

  private long minIntervalNanos(RegisteredUpstream upstream, RateShare share) {
    double perSecond = statements.perSecond(upstream);
    return Double.isFinite(perSecond)
        ? share.minIntervalNanos(upstream.id(), RateBound.ofStatedLimit(perSecond))
        : 0;
  }
}

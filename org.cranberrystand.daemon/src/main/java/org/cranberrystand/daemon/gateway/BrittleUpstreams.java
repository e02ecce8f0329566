package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.PeerTable;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Keeps upstreams that fall over when they refuse too much from having to refuse: this node uses
 * its own share of their slots only, and pauses after a refusal. Used only on the event loop.
 */
final class BrittleUpstreams {
  private static final long MAX_PAUSE_MILLIS = 5_000;

  private final UpstreamStatements statements;
  private final CallDispatcher dispatcher;
  private final PeerTable peers;
  private final FleetState fleet;
  private boolean brittle;

  BrittleUpstreams(CallDispatcher dispatcher, PeerTable peers, FleetState fleet, EventLog log) {
    this.dispatcher = dispatcher;
    this.peers = peers;
    this.fleet = fleet;
    this.statements =
        new UpstreamStatements(
            "brittle", LogEvent.UPSTREAM_BRITTLE, log, () -> updateShares(System.nanoTime()));
  }

  UpstreamStatements statements() {
    return statements;
  }

  /** Adapts the shares to the nodes that are alive; to be called several times per second. */
  void refresh(long nowNanos) {
    statements.expire(nowNanos);
    if (brittle || statements.limitedCount() > 0) {
      updateShares(nowNanos);
    }
  }

  private void updateShares(long nowNanos) {
    brittle = statements.limitedCount() > 0;
    ImmutableList<Double> weights = peers.cellWeights(nowNanos);
    ImmutableSet<String> pools =
        fleet.upstreams().stream()
            .filter(upstream -> Double.isFinite(statements.perSecond(upstream)))
            .map(RegisteredUpstream::pool)
            .collect(ImmutableSet.toImmutableSet());
    dispatcher.slotSharesChanged(
        upstream ->
            pools.contains(upstream.pool())
                ? peers.slotShare(upstream.id(), upstream.slots(), weights, nowNanos)
                : Integer.MAX_VALUE);
  }

  /** Returns the lowest limit that an upstream of the pool states; infinite without one. */
  private double refusalsPerSecond(String pool) {
    return fleet.upstreams().stream()
        .filter(upstream -> upstream.pool().equals(pool))
        .mapToDouble(statements::perSecond)
        .min()
        .orElse(Double.POSITIVE_INFINITY);
  }

  /** Returns for how long this node must not use an upstream that has just refused a request. */
  long pauseMillis(RegisteredUpstream upstream) {
    double perSecond = refusalsPerSecond(upstream.pool());
    if (!Double.isFinite(perSecond)) {
      return 0;
    }
    // If each node causes one refusal in this time, the upstream keeps within its limit.
    double millis =
        TimeUnit.SECONDS.toMillis(1) * peers.sharingNodeCount(System.nanoTime()) / perSecond;
    return (long) Math.min(MAX_PAUSE_MILLIS, millis);
  }
}

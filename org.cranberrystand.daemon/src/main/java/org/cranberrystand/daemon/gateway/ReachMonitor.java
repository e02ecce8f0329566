package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.event.LogEvent;

/** Follows which pools this node reaches, and probes them. Used only on the event loop. */
final class ReachMonitor {
  /** Shorter losses are mostly those of some upstreams; their connections are still good. */
  private static final long MIN_PARTITION_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final CallDispatcher dispatcher;
  private final UpstreamClient client;
  private final FleetState fleet;
  private final GatewayMetrics metrics;
  private final EventLog log;
  private final Runnable changed;
  private final Map<String, Long> lostNanosByPool = new HashMap<>();
  private ImmutableSet<String> unreachablePools = ImmutableSet.of();

  ReachMonitor(
      CallDispatcher dispatcher,
      UpstreamClient client,
      FleetState fleet,
      GatewayMetrics metrics,
      EventLog log,
      Runnable changed) {
    this.dispatcher = dispatcher;
    this.client = client;
    this.fleet = fleet;
    this.metrics = metrics;
    this.log = log;
    this.changed = changed;
  }

  /** Returns the pools none of whose upstreams this node reaches. */
  ImmutableSet<String> unreachablePools() {
    return unreachablePools;
  }

  /** Probes pools and applies what has changed; to be called at short intervals. */
  void tick(long nowNanos) {
    dispatcher.takeProbes(nowNanos).forEach(client::probe);
    ImmutableSet<String> pools = dispatcher.unreachablePools();
    if (!pools.equals(unreachablePools)) {
      log.write(
          LogEvent.POOL_REACH_CHANGED,
          "unreachable="
              + String.join(",", pools)
              + " before="
              + String.join(",", unreachablePools));
      unreachablePools = pools;
      metrics.setUnreachablePools(pools.size());
      changed.run();
    }
    closeLostConnections(nowNanos);
  }

  /** Closes the connections to partitioned pools, which may be half open afterwards. */
  private void closeLostConnections(long nowNanos) {
    lostNanosByPool.keySet().retainAll(unreachablePools);
    for (String pool : unreachablePools) {
      long lostNanos = lostNanosByPool.computeIfAbsent(pool, p -> nowNanos);
      if (nowNanos - lostNanos >= MIN_PARTITION_NANOS) {
        fleet.upstreams().stream()
            .filter(upstream -> upstream.pool().equals(pool))
            .forEach(upstream -> client.closeIdle(upstream.id()));
      }
    }
  }
}

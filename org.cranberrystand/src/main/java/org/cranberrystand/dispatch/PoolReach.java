package org.cranberrystand.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether this node can open connections to the upstreams of one pool.
 *
 * <p>A node may lose its links to all upstreams while callers, the store and the other nodes still
 * reach it. Bytes on connections that were open before say nothing of this: they may arrive while
 * new connections are refused. Not thread-safe.
 */
final class PoolReach {
  /** Fewer upstreams may be down for reasons of their own. */
  private static final int MIN_FAILED_UPSTREAMS = 3;

  private static final long FAILURE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<String, Long> failureNanosByUpstream = new HashMap<>();
  private boolean unreachable;

  /** Records that a connection to an upstream was opened. */
  void connected() {
    failureNanosByUpstream.clear();
    unreachable = false;
  }

  /** Records that no connection to an upstream could be opened, in a pool of some upstreams. */
  void connectFailed(String upstream, int poolSize, long nowNanos) {
    failureNanosByUpstream.values().removeIf(at -> nowNanos - at > FAILURE_LIFETIME_NANOS);
    failureNanosByUpstream.put(upstream, nowNanos);
    unreachable |= failureNanosByUpstream.size() >= Math.min(MIN_FAILED_UPSTREAMS, poolSize);
  }

  /** Returns whether no upstream can be reached, as far as this node knows. */
  boolean isUnreachable() {
    return unreachable;
  }
}

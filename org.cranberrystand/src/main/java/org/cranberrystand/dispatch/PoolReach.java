package org.cranberrystand.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether this node can open connections to the upstreams of one pool, and when to find
 * out.
 *
 * <p>Failed connections raise a doubt; probes of other upstreams decide. Requests alone show too
 * little: those to upstreams that run use open connections, and upstreams that are down seem to
 * have the most free slots.
 *
 * <p>A node may lose its links to all upstreams while callers, the store and the other nodes still
 * reach it. Bytes on connections that were open before say nothing of this: they may arrive while
 * new connections are refused. Not thread-safe.
 */
final class PoolReach {
  /** Fewer upstreams are mostly down for reasons of their own. */
  private static final int MIN_FAILED_UPSTREAMS = 4;

  private static final int SUSPICIOUS_FAILURES = 2;

  /** No upstream of a pool is silent for so long while it runs requests, unless it is stuck. */
  private static final long SUSPICIOUS_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private static final long FAILURE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int SUSPICION_PROBES = MIN_FAILED_UPSTREAMS;
  private static final long SUSPICION_PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Until probes decide, requests are sent to a pool that may be unreachable, or take a hop more
   * although it may be reachable.
   */
  private static final long DOUBT_PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final int UNREACHABLE_PROBES = 2;

  private final Map<String, Long> failureNanosByUpstream = new HashMap<>();

  /** The upstreams of the last probes whose connections have not failed. */
  private final Set<String> unfailedProbes = new HashSet<>();

  private boolean doubted;
  private boolean unreachable;
  private boolean probed;
  private long lastProbeNanos;

  /**
   * Records that a connection to an upstream was opened.
   *
   * @return true if the pool was unreachable before
   */
  boolean connected() {
    boolean regained = unreachable;
    failureNanosByUpstream.clear();
    unfailedProbes.clear();
    doubted = false;
    unreachable = false;
    return regained;
  }

  /** Records that no connection to an upstream could be opened, in a pool of some upstreams. */
  void connectFailed(String upstream, int poolSize, long nowNanos) {
    failureNanosByUpstream.values().removeIf(at -> nowNanos - at > FAILURE_LIFETIME_NANOS);
    failureNanosByUpstream.put(upstream, nowNanos);
    boolean lastProbe = unfailedProbes.remove(upstream) && unfailedProbes.isEmpty();
    doubted = failureNanosByUpstream.size() >= Math.min(MIN_FAILED_UPSTREAMS, poolSize);
    unreachable |= doubted && (lastProbe || failureNanosByUpstream.size() >= poolSize);
  }

  /** Replaces the upstreams whose connections decide whether the pool is unreachable. */
  void probing(Set<String> upstreams) {
    unfailedProbes.clear();
    unfailedProbes.addAll(upstreams);
  }

  /** Returns whether a connection to the upstream failed recently. */
  boolean hasFailed(String upstream) {
    return failureNanosByUpstream.containsKey(upstream);
  }

  /** Returns whether no upstream can be reached, as far as this node knows. */
  boolean isUnreachable() {
    return unreachable;
  }

  /**
   * Returns to how many upstreams to open a connection now.
   *
   * @param silentNanos how long nothing has come from any upstream of the pool although requests
   *     are running; 0 if none is running
   * @param nowNanos the current time
   */
  int takeProbes(long silentNanos, long nowNanos) {
    boolean suspicious =
        failureNanosByUpstream.size() >= SUSPICIOUS_FAILURES
            || silentNanos >= SUSPICIOUS_SILENCE_NANOS;
    long intervalNanos =
        unreachable || doubted ? DOUBT_PROBE_INTERVAL_NANOS : SUSPICION_PROBE_INTERVAL_NANOS;
    if (!(unreachable || suspicious) || (probed && nowNanos - lastProbeNanos < intervalNanos)) {
      return 0;
    }
    probed = true;
    lastProbeNanos = nowNanos;
    return unreachable ? UNREACHABLE_PROBES : SUSPICION_PROBES;
  }
}

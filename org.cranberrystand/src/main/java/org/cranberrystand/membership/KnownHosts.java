package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;

/**
 * The addresses of the other nodes that may be using upstreams, for dividing what all nodes may do
 * together. Not thread-safe.
 *
 * <p>A node that is no longer heard may serve behind a partition, so it counts until it says that
 * it stops, or for the retention time. Independent of cells, because nodes may disagree about the
 * number of cells.
 */
final class KnownHosts {
  /** Longer than partitions last; a fleet gives up the shares of crashed nodes for this long. */
  static final long RETENTION_NANOS = 600_000_000_000L;

  /** A node that stops completes its requests, also if its last reports are lost. */
  static final long STOPPED_RETENTION_NANOS = 12_000_000_000L;

  /** The table is refreshed several times per second, unless this node did not run. */
  private static final long MAX_REFRESH_GAP_NANOS = 2_000_000_000L;

  private record Seen(boolean acceptsCallers, boolean confirmed, long seenNanos) {
    long untilNanos() {
      boolean mayServe = acceptsCallers || !confirmed;
      return seenNanos + (mayServe ? RETENTION_NANOS : STOPPED_RETENTION_NANOS);
    }

    Seen movedBy(long nanos) {
      return new Seen(acceptsCallers, confirmed, seenNanos + nanos);
    }
  }

  private final Map<String, Seen> hosts = new HashMap<>();
  private boolean refreshed;
  private long refreshedNanos;

  /** Records a report of a node, or of the head of its cell about it. */
  void confirmed(NodeInfo node, long nowNanos) {
    hosts.put(node.host(), new Seen(node.acceptsCallers(), true, nowNanos));
  }

  /** Records that another node listed a node. */
  void listed(NodeInfo node, long nowNanos) {
    hosts.putIfAbsent(node.host(), new Seen(node.acceptsCallers(), false, nowNanos));
  }

  /** Removes the nodes whose time has passed. */
  void refresh(long nowNanos) {
    long gapNanos = refreshed ? nowNanos - refreshedNanos : 0;
    refreshed = true;
    refreshedNanos = nowNanos;
    if (gapNanos > MAX_REFRESH_GAP_NANOS) {
      // This node did not run and cannot tell which nodes were silent meanwhile.
      hosts.replaceAll((host, seen) -> seen.movedBy(Math.min(gapNanos, nowNanos - seen.seenNanos)));
    }
    hosts.values().removeIf(seen -> nowNanos - seen.untilNanos() >= 0);
  }

  ImmutableList<String> all() {
    return ImmutableList.copyOf(hosts.keySet());
  }
}

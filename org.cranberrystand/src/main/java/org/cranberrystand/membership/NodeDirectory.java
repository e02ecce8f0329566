package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The other nodes of the fleet, as reported by themselves or by heads of cells. Not thread-safe.
 *
 * <p>When the reports of a node cease, its address is first no longer returned to callers; then the
 * node is no longer presumed alive. This node keeps sending reports to it for longer, so that the
 * two find each other again after a restart or a partition.
 */
final class NodeDirectory {
  /** Reports of a node itself stay fresh this long; they are sent several times a second. */
  static final long DIRECT_REPORT_TTL_NANOS = 1_000_000_000L;

  /** Reports about nodes of other cells stay fresh longer: they take three hops, in parts. */
  static final long RELAYED_REPORT_TTL_NANOS = 2_000_000_000L;

  /** Until then, a silent node may still serve behind a partition; after this it counts as gone. */
  static final long GONE_TIMEOUT_NANOS = 12_000_000_000L;

  /** Silent nodes still receive reports for this long, then their entries are removed. */
  static final long RETENTION_NANOS = 120_000_000_000L;

  private static final class Entry {
    private NodeInfo node;
    private boolean confirmed;
    private long lastSeenNanos;
    private long freshUntilNanos = Long.MIN_VALUE;
  }

  private final String ownHost;
  private final Map<String, Entry> entries = new HashMap<>();
  private final KnownHosts knownHosts = new KnownHosts();

  NodeDirectory(String ownHost) {
    this.ownHost = ownHost;
  }

  /** Records a node that reported itself. */
  void recordDirect(NodeInfo node, long nowNanos) {
    record(node, nowNanos, DIRECT_REPORT_TTL_NANOS);
  }

  /** Records a node of another cell that the head of that cell reported as fresh. */
  void recordRelayed(NodeInfo node, long nowNanos) {
    record(node, nowNanos, RELAYED_REPORT_TTL_NANOS);
  }

  private void record(NodeInfo node, long nowNanos, long ttlNanos) {
    if (node.host().equals(ownHost)) {
      return;
    }
    Entry entry = entries.computeIfAbsent(node.host(), h -> new Entry());
    entry.node = node;
    entry.freshUntilNanos = Math.max(entry.freshUntilNanos, nowNanos + ttlNanos);
    entry.confirmed = true;
    entry.lastSeenNanos = nowNanos;
    knownHosts.confirmed(node, nowNanos);
  }

  /** Adds a node that may be contacted; it counts as a member only after a report about it. */
  void addUnconfirmed(NodeInfo node, long nowNanos) {
    if (!node.host().equals(ownHost) && !entries.containsKey(node.host())) {
      Entry entry = new Entry();
      entry.node = node;
      entry.lastSeenNanos = nowNanos;
      entries.put(node.host(), entry);
      knownHosts.listed(node, nowNanos);
    }
  }

  /** Returns the addresses of the other nodes that are not known to have ended. */
  ImmutableList<String> knownHosts() {
    return knownHosts.all();
  }

  /** Returns the nodes with a fresh report, direct or relayed. */
  ImmutableList<NodeInfo> fresh(long nowNanos) {
    return select(entry -> isFresh(entry, nowNanos));
  }

  /** Returns whether a node has a fresh report, direct or relayed. */
  boolean isFresh(String host, long nowNanos) {
    Entry entry = entries.get(host);
    return entry != null && isFresh(entry, nowNanos);
  }

  /** Returns all nodes that may be contacted. */
  ImmutableList<NodeInfo> all() {
    return select(entry -> true);
  }

  /**
   * Returns the nodes to which callers may be sent. If no node has a fresh report, this node is
   * probably partitioned from the fleet, and the last reports stay valid.
   */
  ImmutableList<NodeInfo> nodesAcceptingCallers(long nowNanos) {
    boolean anyFresh = entries.values().stream().anyMatch(entry -> isFresh(entry, nowNanos));
    return select(
        entry ->
            entry.node.acceptsCallers()
                && (anyFresh ? isFresh(entry, nowNanos) : isPresumedAlive(entry, nowNanos)));
  }

  /** Returns the nodes that are not known to be gone, including unconfirmed ones. */
  ImmutableList<NodeInfo> possiblyAlive(long nowNanos) {
    return select(entry -> !entry.confirmed || isPresumedAlive(entry, nowNanos));
  }

  /** Returns the other nodes that are probably still serving. */
  ImmutableList<NodeInfo> presumedAlive(long nowNanos) {
    return select(entry -> isPresumedAlive(entry, nowNanos));
  }

  /**
   * Returns the other nodes that may be using upstreams. Those that did not say that they stop
   * count as long as they are remembered, also behind a partition that lasts.
   */
  ImmutableList<NodeInfo> possiblyUsingUpstreams(long nowNanos) {
    return select(
        entry -> entry.confirmed && (isFresh(entry, nowNanos) || entry.node.acceptsCallers()));
  }

  private ImmutableList<NodeInfo> select(Predicate<Entry> filter) {
    return entries.values().stream()
        .filter(filter)
        .map(entry -> entry.node)
        .collect(ImmutableList.toImmutableList());
  }

  /** A silent node may be partitioned and still serve, unless it last reported that it stops. */
  private static boolean isPresumedAlive(Entry entry, long nowNanos) {
    return isFresh(entry, nowNanos)
        || (entry.confirmed
            && entry.node.acceptsCallers()
            && nowNanos - entry.lastSeenNanos < GONE_TIMEOUT_NANOS);
  }

  private static boolean isFresh(Entry entry, long nowNanos) {
    return entry.confirmed && nowNanos < entry.freshUntilNanos;
  }

  /** Removes the nodes that were silent for the retention time. */
  void removeExpired(long nowNanos) {
    knownHosts.refresh(nowNanos);
    entries.values().removeIf(entry -> nowNanos - entry.lastSeenNanos > RETENTION_NANOS);
  }
}

package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Who the other nodes are, as they say themselves or as heads of cells say. Not thread-safe.
 *
 * <p>A node that falls silent first stops to be offered, then to count, and is called for longer,
 * so that it is found again after a restart or a partition.
 */
final class NodeDirectory {
  /** Nodes of a cell report several times a second. */
  static final long DIRECT_FRESH_NANOS = 1_000_000_000L;

  /** Word of other cells takes three steps and comes in parts. */
  static final long TOLD_FRESH_NANOS = 2_000_000_000L;

  /** A silent node may still serve behind a partition; after this it counts as gone. */
  static final long GONE_NANOS = 12_000_000_000L;

  /** Silent nodes are called this long. */
  static final long FORGET_NANOS = 120_000_000_000L;

  private static final class Entry {
    private KnownNode node;
    private boolean heard;
    private long heardNanos;
    private long freshUntilNanos = Long.MIN_VALUE;
  }

  private final String ownHost;
  private final Map<String, Entry> entries = new HashMap<>();

  NodeDirectory(String ownHost) {
    this.ownHost = ownHost;
  }

  /** Notes what a node says of itself. */
  void heard(KnownNode node, long nowNanos) {
    note(node, nowNanos, DIRECT_FRESH_NANOS);
  }

  /** Notes a node of another cell that the head of its cell hears. */
  void told(KnownNode node, long nowNanos) {
    note(node, nowNanos, TOLD_FRESH_NANOS);
  }

  private void note(KnownNode node, long nowNanos, long freshNanos) {
    if (node.host().equals(ownHost)) {
      return;
    }
    Entry entry = entries.computeIfAbsent(node.host(), h -> new Entry());
    entry.node = node;
    entry.freshUntilNanos = Math.max(entry.freshUntilNanos, nowNanos + freshNanos);
    entry.heard = true;
    entry.heardNanos = nowNanos;
  }

  /** Notes a node that may be called; it counts only once it was heard. */
  void mentioned(KnownNode node, long nowNanos) {
    if (!node.host().equals(ownHost) && !entries.containsKey(node.host())) {
      Entry entry = new Entry();
      entry.node = node;
      entry.heardNanos = nowNanos;
      entries.put(node.host(), entry);
    }
  }

  /** Returns the nodes heard lately, directly or by others. */
  ImmutableList<KnownNode> fresh(long nowNanos) {
    return select(entry -> isFresh(entry, nowNanos));
  }

  /** Returns all nodes that may be called. */
  ImmutableList<KnownNode> all() {
    return select(entry -> true);
  }

  /**
   * Returns the nodes to which callers may be sent. If no node is heard at all, this node is
   * probably cut off, and the last word stands.
   */
  ImmutableList<KnownNode> offered(long nowNanos) {
    boolean heardAny = entries.values().stream().anyMatch(entry -> isFresh(entry, nowNanos));
    return select(
        entry ->
            entry.node.offered()
                && (heardAny ? isFresh(entry, nowNanos) : isCounted(entry, nowNanos)));
  }

  /** Returns the nodes that are not known to be gone, also those only mentioned. */
  ImmutableList<KnownNode> candidates(long nowNanos) {
    return select(entry -> !entry.heard || isCounted(entry, nowNanos));
  }

  /** Returns the nodes that probably serve, without this one. */
  ImmutableList<KnownNode> counted(long nowNanos) {
    return select(entry -> isCounted(entry, nowNanos));
  }

  private ImmutableList<KnownNode> select(Predicate<Entry> wanted) {
    return entries.values().stream()
        .filter(wanted)
        .map(entry -> entry.node)
        .collect(ImmutableList.toImmutableList());
  }

  /** A silent node may be cut off and serve, unless it last said that it stops. */
  private static boolean isCounted(Entry entry, long nowNanos) {
    return isFresh(entry, nowNanos)
        || (entry.heard && entry.node.offered() && nowNanos - entry.heardNanos < GONE_NANOS);
  }

  private static boolean isFresh(Entry entry, long nowNanos) {
    return entry.heard && nowNanos < entry.freshUntilNanos;
  }

  void forgetSilent(long nowNanos) {
    entries.values().removeIf(entry -> nowNanos - entry.heardNanos > FORGET_NANOS);
  }
}

package org.cranberrystand.audit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Merges the audit trails of several nodes in causal order. Stateless. */
public final class AuditMerge {
  private static final Comparator<AuditEntry> CAUSAL_ORDER =
      Comparator.comparing(AuditEntry::time)
          .thenComparing(AuditEntry::node)
          .thenComparing(AuditEntry::incarnation)
          .thenComparingLong(AuditEntry::sequence);

  /**
   * Identifies the incarnation that wrote an audit trail.
   *
   * @param node the name of the node
   * @param incarnation the ID of the incarnation, in hexadecimal
   */
  public record IncarnationKey(String node, String incarnation) {}

  private AuditMerge() {}

  /**
   * Merges entries in causal order and inserts placeholders for missing entries.
   *
   * <p>For a known incarnation that is no longer running, a placeholder follows its last entry,
   * because later entries were lost with the process. If no entry of such an incarnation is
   * available, its placeholder comes first. A placeholder for overwritten entries precedes the next
   * available entry of the incarnation.
   *
   * @param entries the entries of any number of incarnations; duplicates are ignored
   * @param known all incarnations that any node has seen
   * @param running the incarnations that responded, and are therefore running
   * @return the entries and placeholders
   */
  public static ImmutableList<AuditRecord> merge(
      Collection<AuditEntry> entries,
      Collection<IncarnationKey> known,
      Collection<IncarnationKey> running) {
    ImmutableSet<IncarnationKey> runningKeys = ImmutableSet.copyOf(running);
    List<AuditEntry> sorted = new ArrayList<>(new HashSet<>(entries));
    sorted.sort(CAUSAL_ORDER);
    Map<IncarnationKey, Long> newestSequences = new HashMap<>();
    sorted.forEach(entry -> newestSequences.merge(keyOf(entry), entry.sequence(), Math::max));
    ImmutableList.Builder<AuditRecord> merged = ImmutableList.builder();
    Set<IncarnationKey> keysWithoutEntries = new HashSet<>(known);
    keysWithoutEntries.removeAll(runningKeys);
    keysWithoutEntries.removeAll(newestSequences.keySet());
    keysWithoutEntries.stream()
        .sorted(
            Comparator.comparing(IncarnationKey::node).thenComparing(IncarnationKey::incarnation))
        .forEach(key -> merged.add(nodeReplacedLoss(key, 1)));
    Map<IncarnationKey, Long> previousSequences = new HashMap<>();
    for (AuditEntry entry : sorted) {
      IncarnationKey key = keyOf(entry);
      long expected = previousSequences.getOrDefault(key, 0L) + 1;
      previousSequences.put(key, entry.sequence());
      if (entry.sequence() > expected) {
        merged.add(overwrittenLoss(key, expected, entry.sequence() - 1));
      }
      merged.add(entry);
      if (entry.sequence() == newestSequences.get(key) && !runningKeys.contains(key)) {
        merged.add(nodeReplacedLoss(key, entry.sequence() + 1));
      }
    }
    return merged.build();
  }

  private static AuditLoss overwrittenLoss(IncarnationKey key, long first, long last) {
    return new AuditLoss(key.node(), key.incarnation(), first, last, AuditLoss.Cause.OVERWRITTEN);
  }

  private static AuditLoss nodeReplacedLoss(IncarnationKey key, long firstSequence) {
    return new AuditLoss(
        key.node(), key.incarnation(), firstSequence, 0, AuditLoss.Cause.NODE_REPLACED);
  }

  private static IncarnationKey keyOf(AuditEntry entry) {
    return new IncarnationKey(entry.node(), entry.incarnation());
  }
}

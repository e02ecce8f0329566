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
   * One life of a node.
   *
   * @param node the name of the node
   * @param incarnation the number of the incarnation
   */
  public record Life(String node, String incarnation) {}

  private AuditMerge() {}

  /**
   * Merges entries and marks what is missing.
   *
   * <p>An incarnation that is known but does not run any more has a mark after its last entry,
   * since later entries ended with it. A mark for overwritten entries stands before the first entry
   * after them. A mark without any entry of its incarnation comes first.
   *
   * @param entries entries of any number of incarnations; repeated ones count once
   * @param known all incarnations that somebody has seen
   * @param running the incarnations that answered
   * @return entries and marks
   */
  public static ImmutableList<AuditRecord> merge(
      Collection<AuditEntry> entries, Collection<Life> known, Collection<Life> running) {
    ImmutableSet<Life> alive = ImmutableSet.copyOf(running);
    List<AuditEntry> sorted = new ArrayList<>(new HashSet<>(entries));
    sorted.sort(CAUSAL_ORDER);
    Map<Life, Long> newest = new HashMap<>();
    sorted.forEach(entry -> newest.merge(lifeOf(entry), entry.sequence(), Math::max));
    ImmutableList.Builder<AuditRecord> merged = ImmutableList.builder();
    Set<Life> silent = new HashSet<>(known);
    silent.removeAll(alive);
    silent.removeAll(newest.keySet());
    silent.stream()
        .sorted(Comparator.comparing(Life::node).thenComparing(Life::incarnation))
        .forEach(life -> merged.add(replaced(life, 1)));
    Map<Life, Long> previous = new HashMap<>();
    for (AuditEntry entry : sorted) {
      Life life = lifeOf(entry);
      long expected = previous.getOrDefault(life, 0L) + 1;
      previous.put(life, entry.sequence());
      if (entry.sequence() > expected) {
        merged.add(overwritten(life, expected, entry.sequence() - 1));
      }
      merged.add(entry);
      if (entry.sequence() == newest.get(life) && !alive.contains(life)) {
        merged.add(replaced(life, entry.sequence() + 1));
      }
    }
    return merged.build();
  }

  private static AuditLoss overwritten(Life life, long first, long last) {
    return new AuditLoss(life.node(), life.incarnation(), first, last, AuditLoss.Cause.OVERWRITTEN);
  }

  private static AuditLoss replaced(Life life, long firstSequence) {
    return new AuditLoss(
        life.node(), life.incarnation(), firstSequence, 0, AuditLoss.Cause.NODE_REPLACED);
  }

  private static Life lifeOf(AuditEntry entry) {
    return new Life(entry.node(), entry.incarnation());
  }
}

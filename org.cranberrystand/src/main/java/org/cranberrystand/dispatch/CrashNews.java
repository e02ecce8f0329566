package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableSet;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Selects the keys of which a report tells other nodes, since a report holds few of them.
 *
 * <p>What has changed is told at once, what this node saw itself before what others told it, and
 * several times. All that is suspected, and some of the rest, is told again and again, for nodes
 * that have just started or heard nothing for a while. Keys take turns. Not thread-safe.
 */
final class CrashNews {
  private static final int MAX_REPORTED = 32;

  /** Covers several reports, so that a lost one does no harm. */
  private static final long NEWS_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** The keys that take turns together, in the order in which they get room in a report. */
  private enum Turn {
    SUSPECTED(8),
    REPEATED(2),
    ONCE(2),
    URGENT_NEWS(MAX_REPORTED),
    OWN_NEWS(MAX_REPORTED),
    OTHER_NEWS(8),
    TOLD_NEWS(MAX_REPORTED);

    private final int maxReported;

    Turn(int maxReported) {
      this.maxReported = maxReported;
    }

    boolean isNews() {
      return compareTo(URGENT_NEWS) >= 0;
    }
  }

  private final EvidenceTable table;

  /** The keys of each turn, the next one first, and when news of them were told first, or null. */
  private final Map<Turn, Map<Long, Long>> firstToldNanosByTurn = new EnumMap<>(Turn.class);

  private final Map<Long, Turn> turnByKey = new HashMap<>();

  CrashNews(EvidenceTable table) {
    this.table = table;
    for (Turn turn : Turn.values()) {
      firstToldNanosByTurn.put(turn, new LinkedHashMap<>());
    }
  }

  /** Records that the evidence of a key has changed, by what this or another node saw. */
  void changed(long key, CrashEvidence evidence, boolean seenHere) {
    Turn turn = seenHere ? Turn.OWN_NEWS : Turn.OTHER_NEWS;
    if (evidence.rank().compareTo(EvidenceRank.REPEATED) >= 0) {
      turn = Turn.URGENT_NEWS;
    }
    remove(key);
    add(key, turn, null);
  }

  private void add(long key, Turn turn, Long firstToldNanos) {
    turnByKey.put(key, turn);
    firstToldNanosByTurn.get(turn).put(key, firstToldNanos);
  }

  private void remove(long key) {
    Turn turn = turnByKey.remove(key);
    if (turn != null) {
      firstToldNanosByTurn.get(turn).remove(key);
    }
  }

  /** Returns the keys of the next report. */
  ImmutableSet<Long> next(long nowNanos) {
    Set<Long> selected = new LinkedHashSet<>();
    for (Turn turn : Turn.values()) {
      select(turn, selected, nowNanos);
    }
    return ImmutableSet.copyOf(selected);
  }

  private void select(Turn turn, Set<Long> selected, long nowNanos) {
    Map<Long, Long> firstToldNanosByKey = firstToldNanosByTurn.get(turn);
    int limit = Math.min(MAX_REPORTED, selected.size() + turn.maxReported);
    for (int left = firstToldNanosByKey.size(); left > 0 && selected.size() < limit; left--) {
      Map.Entry<Long, Long> first = firstToldNanosByKey.entrySet().iterator().next();
      long key = first.getKey();
      Long firstToldNanos = first.getValue();
      CrashEvidence evidence = table.get(key);
      remove(key);
      if (evidence != null && isOld(firstToldNanos, nowNanos)) {
        settle(key, evidence);
      } else if (evidence != null) {
        told(key, turn, firstToldNanos, nowNanos);
        selected.add(key);
      }
    }
  }

  private void told(long key, Turn turn, Long firstToldNanos, long nowNanos) {
    if (turn.isNews()) {
      add(key, Turn.TOLD_NEWS, firstToldNanos == null ? Long.valueOf(nowNanos) : firstToldNanos);
    } else {
      add(key, turn, null);
    }
  }

  private static boolean isOld(Long firstToldNanos, long nowNanos) {
    return firstToldNanos != null && nowNanos - firstToldNanos >= NEWS_NANOS;
  }

  /** Lets a key that is no news any more take turns by its rank. */
  private void settle(long key, CrashEvidence evidence) {
    switch (evidence.rank()) {
      case SUSPECTED -> add(key, Turn.SUSPECTED, null);
      case REPEATED -> add(key, Turn.REPEATED, null);
      case ONCE -> add(key, Turn.ONCE, null);
      default -> {
        // Other nodes need to know of an answer only after crashes.
      }
    }
  }
}

package org.cranberrystand.dispatch;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The evidence of a bounded number of keys. Without room for a further one, the least recently
 * changed key of the lowest rank is evicted, so that many lost upstreams do not push out what is
 * known to crash them. Not thread-safe.
 */
final class EvidenceTable {
  private static final int MAX_ENTRIES = 8_192;

  /** Crashes further apart are a coincidence, unless there are enough to suspect the key. */
  private static final long EXPIRY_NANOS = TimeUnit.MINUTES.toNanos(10);

  private record Row(CrashEvidence evidence, EvidenceRank rank) {}

  private final Map<Long, Row> rows = new HashMap<>();

  /** The keys of each rank, the least recently changed first. */
  private final Map<EvidenceRank, Set<Long>> keysByRank = new EnumMap<>(EvidenceRank.class);

  EvidenceTable() {
    for (EvidenceRank rank : EvidenceRank.values()) {
      keysByRank.put(rank, new LinkedHashSet<>());
    }
  }

  /** Returns the evidence of a key; null if there is none. */
  CrashEvidence get(long key) {
    Row row = rows.get(key);
    return row == null ? null : row.evidence();
  }

  /**
   * Adds the evidence of a key, or ranks it anew after a change.
   *
   * @return the key that had to give way
   */
  Optional<Map.Entry<Long, CrashEvidence>> put(long key, CrashEvidence evidence) {
    Optional<Map.Entry<Long, CrashEvidence>> evicted = Optional.empty();
    if (rows.containsKey(key)) {
      remove(key);
    } else {
      if (rows.size() >= MAX_ENTRIES) {
        evicted = Optional.of(evict());
      }
    }
    EvidenceRank rank = evidence.rank();
    rows.put(key, new Row(evidence, rank));
    keysByRank.get(rank).add(key);
    return evicted;
  }

  private void remove(long key) {
    keysByRank.get(rows.remove(key).rank()).remove(key);
  }

  /** Removes the keys whose crashes are too old to count. */
  void removeExpired(long nowNanos) {
    for (EvidenceRank rank : EvidenceRank.values()) {
      Iterator<Long> keys = keysByRank.get(rank).iterator();
      while (rank != EvidenceRank.SUSPECTED && keys.hasNext()) {
        long key = keys.next();
        if (nowNanos - get(key).changedNanos() < EXPIRY_NANOS) {
          break;
        }
        rows.remove(key);
        keys.remove();
      }
    }
  }

  private Map.Entry<Long, CrashEvidence> evict() {
    long key =
        keysByRank.values().stream()
            .filter(keys -> !keys.isEmpty())
            .findFirst()
            .orElseThrow()
            .iterator()
            .next();
    CrashEvidence evidence = get(key);
    remove(key);
    return Map.entry(key, evidence);
  }

  /** Returns the keys with enough crashes, also those whose refusal is over. */
  Stream<Map.Entry<Long, CrashEvidence>> suspected() {
    return keysByRank.get(EvidenceRank.SUSPECTED).stream().map(key -> Map.entry(key, get(key)));
  }
}

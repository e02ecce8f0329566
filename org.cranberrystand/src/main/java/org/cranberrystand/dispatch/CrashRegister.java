package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the upstream crashes that happened while a request was running, by a fingerprint of the
 * request's path, team and body.
 *
 * <p>A request that was running during several crashes is probably their cause, so all nodes refuse
 * it until its counts expire. The counts that other nodes report are added to those of this node.
 * The number of entries is bounded; the least recently updated entry is evicted first. Not
 * thread-safe.
 */
public final class CrashRegister {
  /** An upstream runs many requests at a time, so two crashes may be a coincidence. */
  private static final int CRASHES_TO_REFUSE = 3;

  private static final long ENTRY_LIFETIME_NANOS = 120_000_000_000L;
  private static final int MAX_ENTRIES = 1_024;
  private static final int MAX_REPORTED = 64;

  private record Entry(int crashes, long lastNanos) {}

  private final Map<Long, Entry> ownEntries =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Entry> eldest) {
          return size() > MAX_ENTRIES;
        }
      };
  private ImmutableMap<Long, Integer> peerCounts = ImmutableMap.of();

  /**
   * Records that the connection to an upstream broke while the upstream ran a request.
   *
   * @param fingerprint the fingerprint of the request
   * @param nowNanos the current time
   */
  public void crashed(long fingerprint, long nowNanos) {
    Entry entry = ownEntries.remove(fingerprint);
    int earlierCrashes =
        entry == null || nowNanos - entry.lastNanos() > ENTRY_LIFETIME_NANOS ? 0 : entry.crashes();
    ownEntries.put(fingerprint, new Entry(earlierCrashes + 1, nowNanos));
  }

  /**
   * Records that a request was answered, which clears its count on this node.
   *
   * @param fingerprint the fingerprint of the request
   */
  public void answered(long fingerprint) {
    if (!ownEntries.isEmpty()) {
      ownEntries.remove(fingerprint);
    }
  }

  /**
   * Returns whether a request must be refused.
   *
   * @param fingerprint the fingerprint of the request
   * @param nowNanos the current time
   * @return true if too many upstreams crashed while running the request
   */
  public boolean isRefused(long fingerprint, long nowNanos) {
    Entry entry = ownEntries.get(fingerprint);
    int crashes =
        entry == null || nowNanos - entry.lastNanos() > ENTRY_LIFETIME_NANOS ? 0 : entry.crashes();
    return crashes + peerCounts.getOrDefault(fingerprint, 0) >= CRASHES_TO_REFUSE;
  }

  /**
   * Replaces the crash counts of the other nodes.
   *
   * @param crashes the sums over the other nodes, by fingerprint
   */
  public void setPeerCounts(ImmutableMap<Long, Integer> crashes) {
    peerCounts = crashes;
  }

  /**
   * Returns the crash counts of this node for the report to other nodes.
   *
   * @param nowNanos the current time
   * @return the most recently updated counts, by fingerprint
   */
  public ImmutableMap<Long, Integer> counts(long nowNanos) {
    ImmutableMap.Builder<Long, Integer> counts = ImmutableMap.builder();
    ownEntries.entrySet().stream()
        .filter(e -> nowNanos - e.getValue().lastNanos() <= ENTRY_LIFETIME_NANOS)
        .sorted((a, b) -> Long.compare(b.getValue().lastNanos(), a.getValue().lastNanos()))
        .limit(MAX_REPORTED)
        .forEach(e -> counts.put(e.getKey(), e.getValue().crashes()));
    return counts.build();
  }
}

package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Requests during which upstreams crashed, by fingerprint of path, team and body.
 *
 * <p>A request that was running each time when several upstreams crashed probably causes it, and is
 * refused for a time on all nodes. Counts of other nodes are added. Bounded; the oldest are
 * forgotten first. Not thread-safe.
 */
public final class CrashRegister {
  /** Two crashes may be chance where many requests run at each upstream. */
  private static final int CRASHES_TO_REFUSE = 3;

  private static final long KEEP_NANOS = 120_000_000_000L;
  private static final int MAX_ENTRIES = 1_024;
  private static final int MAX_REPORTED = 64;

  private record Entry(int crashes, long lastNanos) {}

  private final Map<Long, Entry> own =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Entry> eldest) {
          return size() > MAX_ENTRIES;
        }
      };
  private ImmutableMap<Long, Integer> others = ImmutableMap.of();

  /**
   * Notes that a connection broke while its upstream ran a request.
   *
   * @param fingerprint the request
   * @param nowNanos the time
   */
  public void crashed(long fingerprint, long nowNanos) {
    Entry known = own.remove(fingerprint);
    int before = known == null || nowNanos - known.lastNanos() > KEEP_NANOS ? 0 : known.crashes();
    own.put(fingerprint, new Entry(before + 1, nowNanos));
  }

  /**
   * Notes that a request was answered, which clears it on this node.
   *
   * @param fingerprint the request
   */
  public void answered(long fingerprint) {
    if (!own.isEmpty()) {
      own.remove(fingerprint);
    }
  }

  /**
   * Tells whether a request must not run.
   *
   * @param fingerprint the request
   * @param nowNanos the time
   * @return true if too many upstreams crashed while running it
   */
  public boolean isRefused(long fingerprint, long nowNanos) {
    Entry known = own.get(fingerprint);
    int crashes = known == null || nowNanos - known.lastNanos() > KEEP_NANOS ? 0 : known.crashes();
    return crashes + others.getOrDefault(fingerprint, 0) >= CRASHES_TO_REFUSE;
  }

  /**
   * Replaces the counts of the other nodes.
   *
   * @param crashes the sums by fingerprint
   */
  public void setOthers(ImmutableMap<Long, Integer> crashes) {
    others = crashes;
  }

  /**
   * Returns the counts to be reported to other nodes.
   *
   * @param nowNanos the time
   * @return the latest counts by fingerprint
   */
  public ImmutableMap<Long, Integer> counts(long nowNanos) {
    ImmutableMap.Builder<Long, Integer> counts = ImmutableMap.builder();
    own.entrySet().stream()
        .filter(e -> nowNanos - e.getValue().lastNanos() <= KEEP_NANOS)
        .sorted((a, b) -> Long.compare(b.getValue().lastNanos(), a.getValue().lastNanos()))
        .limit(MAX_REPORTED)
        .forEach(e -> counts.put(e.getKey(), e.getValue().crashes()));
    return counts.build();
  }
}

package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import org.cranberrystand.util.BoundedMap;

/**
 * Tracks request contents that may crash upstreams.
 *
 * <p>Every content that was running on an upstream when the upstream crashed becomes suspect. A
 * suspect content runs alone on an upstream: if that upstream crashes too, the content is
 * quarantined; if the request is answered, the content is cleared. The number of entries is
 * bounded; the oldest are evicted first. Not thread-safe.
 */
public final class PoisonContentRegistry {
  private static final int MAX_ENTRIES = 4_096;
  private static final long SUSPECT_NANOS = 300_000_000_000L;
  private static final long QUARANTINE_NANOS = 600_000_000_000L;

  /** How requests with a content are treated. */
  public enum Status {
    /** Runs without restriction. */
    CLEAR,
    /** Runs alone on an upstream, since it may have caused a crash. */
    SUSPECT,
    /** Is rejected. */
    QUARANTINED
  }

  private record Entry(Status status, boolean reportedByPeer, long untilNanos) {}

  private final Map<String, Entry> entries = new BoundedMap<>(MAX_ENTRIES);

  /**
   * Returns the status of a content.
   *
   * @param digest the digest of the content; empty if unknown
   * @param nowNanos the current time in nanoseconds
   * @return the status; {@link Status#CLEAR} for an unknown content
   */
  public Status status(String digest, long nowNanos) {
    Entry entry = entries.get(digest);
    return entry == null || entry.untilNanos() <= nowNanos ? Status.CLEAR : entry.status();
  }

  /**
   * Returns the remaining duration of a quarantine.
   *
   * @param digest the digest of the content
   * @param nowNanos the current time in nanoseconds
   * @return the remaining time in nanoseconds; 0 if there is no entry or it has expired
   */
  public long remainingQuarantineNanos(String digest, long nowNanos) {
    Entry entry = entries.get(digest);
    return entry == null ? 0 : Math.max(0, entry.untilNanos() - nowNanos);
  }

  /**
   * Records that an upstream crashed while it ran a request.
   *
   * @param digest the digest of the content; empty if unknown
   * @param isolated whether the content was the only suspect on the upstream
   * @param nowNanos the current time in nanoseconds
   * @return the new status
   */
  public Status recordCrash(String digest, boolean isolated, long nowNanos) {
    if (digest.isEmpty()) {
      return Status.CLEAR;
    }
    Status status = status(digest, nowNanos);
    if (status == Status.QUARANTINED) {
      return status;
    }
    if (status == Status.SUSPECT && isolated) {
      put(digest, new Entry(Status.QUARANTINED, false, nowNanos + QUARANTINE_NANOS));
      return Status.QUARANTINED;
    }
    put(digest, new Entry(Status.SUSPECT, false, nowNanos + SUSPECT_NANOS));
    return Status.SUSPECT;
  }

  /**
   * Records that a request was answered, which clears a suspect content.
   *
   * @param digest the digest of the content
   * @param nowNanos the current time in nanoseconds
   */
  public void recordAnswer(String digest, long nowNanos) {
    if (status(digest, nowNanos) == Status.SUSPECT) {
      // The entry stays, since peers that do not know of the answer still report a suspect.
      put(digest, new Entry(Status.CLEAR, false, nowNanos + SUSPECT_NANOS));
    }
  }

  /**
   * Merges the contents that a peer reports as suspect or quarantined.
   *
   * @param event the report
   */
  public void mergePeerReport(SchedulerEvent.ContentReported event) {
    event
        .quarantinedUntilNanos()
        .forEach((digest, until) -> put(digest, new Entry(Status.QUARANTINED, true, until)));
    for (String digest : event.suspects()) {
      Entry existing = entries.get(digest);
      if (existing == null || existing.untilNanos() <= event.atNanos()) {
        put(digest, new Entry(Status.SUSPECT, true, event.atNanos() + SUSPECT_NANOS));
      }
    }
  }

  /**
   * Returns the contents that this node itself found suspect, for gossip to peers.
   *
   * @param nowNanos the current time in nanoseconds
   * @return the digests
   */
  public ImmutableList<String> suspects(long nowNanos) {
    return entries.entrySet().stream()
        .filter(e -> e.getValue().status() == Status.SUSPECT && !e.getValue().reportedByPeer())
        .filter(e -> e.getValue().untilNanos() > nowNanos)
        .map(Map.Entry::getKey)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the quarantined contents, for gossip to peers.
   *
   * @param nowNanos the current time in nanoseconds
   * @return the end of the quarantine in nanoseconds by digest
   */
  public ImmutableMap<String, Long> quarantined(long nowNanos) {
    return entries.entrySet().stream()
        .filter(e -> e.getValue().status() == Status.QUARANTINED)
        .filter(e -> e.getValue().untilNanos() > nowNanos)
        .collect(ImmutableMap.toImmutableMap(Map.Entry::getKey, e -> e.getValue().untilNanos()));
  }

  private void put(String digest, Entry entry) {
    entries.remove(digest);
    entries.put(digest, entry);
  }
}

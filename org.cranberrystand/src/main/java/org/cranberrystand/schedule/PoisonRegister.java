package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Contents that were running when an upstream crashed.
 *
 * <p>Every content that an upstream was running when it crashed is suspect. A suspect runs alone on
 * its upstream; if that crashes too, the content is quarantined, and if it is answered, the content
 * is cleared. The number of contents is bounded; the oldest are forgotten first. Not thread-safe.
 */
public final class PoisonRegister {
  private static final int MAX_ENTRIES = 4_096;
  private static final long SUSPECT_NANOS = 300_000_000_000L;
  private static final long QUARANTINE_NANOS = 600_000_000_000L;

  /** How a content is to be treated. */
  public enum Status {
    /** Nothing is held against it. */
    CLEAR,
    /** It runs alone on its upstream. */
    SUSPECT,
    /** It is not run. */
    QUARANTINED
  }

  private record Entry(Status status, boolean reportedByPeer, long untilNanos) {}

  private final Map<String, Entry> entries =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Entry> eldest) {
          return size() > MAX_ENTRIES;
        }
      };

  /**
   * Returns how to treat a content.
   *
   * @param digest the digest of the content; empty if unknown
   * @param nowNanos the time
   * @return the status
   */
  public Status status(String digest, long nowNanos) {
    Entry entry = entries.get(digest);
    return entry == null || entry.untilNanos() <= nowNanos ? Status.CLEAR : entry.status();
  }

  /**
   * Returns how long a quarantine lasts.
   *
   * @param digest the digest of the content
   * @param nowNanos the time
   * @return the remaining time in nanoseconds, or 0
   */
  public long remainingNanos(String digest, long nowNanos) {
    Entry entry = entries.get(digest);
    return entry == null ? 0 : Math.max(0, entry.untilNanos() - nowNanos);
  }

  /**
   * Notes that the upstream of a running request crashed.
   *
   * @param digest the digest of the content
   * @param isolated whether the request was alone on the upstream
   * @param nowNanos the time
   * @return the new status
   */
  public Status crashed(String digest, boolean isolated, long nowNanos) {
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
   * Notes that a request was answered.
   *
   * @param digest the digest of the content
   * @param nowNanos the time
   */
  public void answered(String digest, long nowNanos) {
    if (status(digest, nowNanos) == Status.SUSPECT) {
      // Kept as cleared, since peers that have not seen the answer go on reporting the suspicion.
      put(digest, new Entry(Status.CLEAR, false, nowNanos + SUSPECT_NANOS));
    }
  }

  /**
   * Takes the contents that a peer holds suspect or quarantined into account.
   *
   * @param event the report
   */
  public void reported(SchedulerEvent.ContentReported event) {
    event
        .quarantinedUntilNanos()
        .forEach((digest, until) -> put(digest, new Entry(Status.QUARANTINED, true, until)));
    for (String digest : event.suspects()) {
      Entry known = entries.get(digest);
      if (known == null || known.untilNanos() <= event.atNanos()) {
        put(digest, new Entry(Status.SUSPECT, true, event.atNanos() + SUSPECT_NANOS));
      }
    }
  }

  /**
   * Returns the contents that this node found suspect, to be spread to peers.
   *
   * @param nowNanos the time
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
   * Returns the contents in quarantine, to be spread to peers.
   *
   * @param nowNanos the time
   * @return the digests with the end of their quarantine
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

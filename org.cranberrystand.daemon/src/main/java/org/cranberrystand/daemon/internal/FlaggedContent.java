package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.util.MonotonicClock;

/**
 * Digests of request content that is suspect or quarantined in the fleet, with their expiry times.
 *
 * <p>The number of entries is limited. Not thread-safe.
 */
final class FlaggedContent {
  private static final int MAX_ENTRIES = 256;
  private static final int MAX_ENTRIES_PER_MESSAGE = 16;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Later expiry times within this tolerance are ignored, because they include transport delay. */
  private static final long EXPIRY_TOLERANCE_NANOS = 5_000 * NANOS_PER_MILLI;

  private final MonotonicClock clock;
  private final Map<String, Long> expiryNanosByDigest = new HashMap<>();

  FlaggedContent(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Adds a digest or extends its expiry; returns false if neither was necessary or possible. */
  boolean add(String digest, long expiryNanos) {
    Long currentExpiryNanos = expiryNanosByDigest.get(digest);
    if (expiryNanos <= clock.nowNanos()
        || (currentExpiryNanos == null && expiryNanosByDigest.size() >= MAX_ENTRIES)) {
      return false;
    }
    boolean changed =
        currentExpiryNanos == null || expiryNanos - currentExpiryNanos > EXPIRY_TOLERANCE_NANOS;
    if (changed) {
      expiryNanosByDigest.put(digest, expiryNanos);
    }
    return changed;
  }

  /**
   * Adds entries of a peer, whose times are relative; returns true if one was added or extended.
   */
  boolean addRemaining(List<PeerDigest.Timed> entries) {
    boolean changed = false;
    for (PeerDigest.Timed entry : entries) {
      if (entry.name() != null) {
        changed |= add(entry.name(), clock.nowNanos() + entry.millis() * NANOS_PER_MILLI);
      }
    }
    return changed;
  }

  void expire() {
    long nowNanos = clock.nowNanos();
    expiryNanosByDigest.values().removeIf(expiry -> expiry - nowNanos <= 0);
  }

  ImmutableMap<String, Long> toMap() {
    return ImmutableMap.copyOf(expiryNanosByDigest);
  }

  /**
   * Returns the entries with the latest expiry times, as remaining times for a message to a peer.
   */
  List<PeerDigest.Timed> latestRemaining() {
    long nowNanos = clock.nowNanos();
    return expiryNanosByDigest.entrySet().stream()
        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
        .limit(MAX_ENTRIES_PER_MESSAGE)
        .map(e -> new PeerDigest.Timed(e.getKey(), (e.getValue() - nowNanos) / NANOS_PER_MILLI))
        .toList();
  }
}

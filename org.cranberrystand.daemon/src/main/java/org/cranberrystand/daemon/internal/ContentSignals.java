package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.util.MonotonicClock;

/**
 * Content digests that are suspect or quarantined anywhere in the fleet, with the end of each.
 *
 * <p>Bounded. Not thread-safe.
 */
final class ContentSignals {
  private static final int MAX_ENTRIES = 256;
  private static final int MAX_PER_DIGEST = 16;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Remaining times count as the same end when they differ by less, to allow for transport. */
  private static final long TOLERANCE_NANOS = 5_000 * NANOS_PER_MILLI;

  private final MonotonicClock clock;
  private final Map<String, Long> untilNanos = new HashMap<>();

  ContentSignals(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Adds a digest; returns true if it was not known or ends considerably later. */
  boolean add(String digest, long endNanos) {
    Long known = untilNanos.get(digest);
    if (endNanos <= clock.nowNanos() || (known == null && untilNanos.size() >= MAX_ENTRIES)) {
      return false;
    }
    boolean news = known == null || endNanos - known > TOLERANCE_NANOS;
    if (news) {
      untilNanos.put(digest, endNanos);
    }
    return news;
  }

  boolean addRemaining(List<PeerDigest.Timed> entries) {
    boolean news = false;
    for (PeerDigest.Timed entry : entries) {
      if (entry.name() != null) {
        news |= add(entry.name(), clock.nowNanos() + entry.millis() * NANOS_PER_MILLI);
      }
    }
    return news;
  }

  void expire() {
    long now = clock.nowNanos();
    untilNanos.values().removeIf(end -> end - now <= 0);
  }

  ImmutableMap<String, Long> all() {
    return ImmutableMap.copyOf(untilNanos);
  }

  /** Returns the entries that end last, with their remaining time. */
  List<PeerDigest.Timed> remaining() {
    long now = clock.nowNanos();
    return untilNanos.entrySet().stream()
        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
        .limit(MAX_PER_DIGEST)
        .map(e -> new PeerDigest.Timed(e.getKey(), (e.getValue() - now) / NANOS_PER_MILLI))
        .toList();
  }
}

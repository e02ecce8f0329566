package org.cranberrystand.daemon.internal;

import com.google.common.primitives.ImmutableLongArray;
import java.util.List;
import java.util.Optional;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.wire.http.CacheEvents;

/**
 * Converts the cache events of one engine to scheduler events and detects lost ones.
 *
 * <p>Safe for use by several threads, but responses must be read one at a time.
 */
final class CacheEventReader {
  private final String upstream;
  private volatile long lastSequence;

  CacheEventReader(String upstream) {
    this.upstream = upstream;
  }

  long lastSequence() {
    return lastSequence;
  }

  /**
   * Reads the response to a request for the events after {@link #lastSequence()}.
   *
   * @param response the events and the sequence number of the last one
   * @param nowNanos the time at which the response arrived
   * @return the event for the scheduler, or empty if nothing changed
   */
  Optional<SchedulerEvent> read(CacheEvents response, long nowNanos) {
    // A sequence number lower than the requested one means that the engine restarted.
    boolean hasGap = response.next() < lastSequence;
    long expectedSequence = hasGap ? 1 : lastSequence + 1;
    ImmutableLongArray.Builder stored = ImmutableLongArray.builder();
    ImmutableLongArray.Builder evicted = ImmutableLongArray.builder();
    for (CacheEvents.Change change : response.events()) {
      hasGap |= change.sequence() != expectedSequence;
      expectedSequence = change.sequence() + 1;
      hasGap |= !addAll(stored, change.stored());
      hasGap |= !addAll(evicted, change.evicted());
    }
    hasGap |= response.next() != expectedSequence - 1;
    lastSequence = response.next();
    if (response.events().isEmpty() && !hasGap) {
      return Optional.empty();
    }
    return Optional.of(
        new SchedulerEvent.CacheReported(
            upstream, stored.build(), evicted.build(), hasGap, nowNanos));
  }

  private static boolean addAll(ImmutableLongArray.Builder target, List<String> hashes) {
    boolean valid = true;
    for (String hash : hashes) {
      try {
        target.add(Long.parseUnsignedLong(hash, 16));
      } catch (NumberFormatException e) {
        valid = false;
      }
    }
    return valid;
  }
}

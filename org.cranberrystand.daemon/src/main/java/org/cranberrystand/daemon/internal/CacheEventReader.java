package org.cranberrystand.daemon.internal;

import com.google.common.primitives.ImmutableLongArray;
import java.util.List;
import java.util.Optional;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.wire.http.CacheEvents;

/**
 * Follows the cache events of one engine and notices lost ones.
 *
 * <p>Safe for use by several threads, one call at a time takes effect.
 */
final class CacheEventReader {
  private final String upstream;
  private volatile long after;

  CacheEventReader(String upstream) {
    this.upstream = upstream;
  }

  long after() {
    return after;
  }

  /**
   * Reads an answer to the question for events after {@link #after()}.
   *
   * @param answer the answer
   * @param nowNanos when it arrived
   * @return the event for the scheduler, or empty if nothing changed
   */
  Optional<SchedulerEvent> read(CacheEvents answer, long nowNanos) {
    // A lower number than the one asked for means that the engine restarted.
    boolean gap = answer.next() < after;
    long expected = gap ? 1 : after + 1;
    ImmutableLongArray.Builder stored = ImmutableLongArray.builder();
    ImmutableLongArray.Builder evicted = ImmutableLongArray.builder();
    for (CacheEvents.Change change : answer.events()) {
      gap |= change.sequence() != expected;
      expected = change.sequence() + 1;
      gap |= !addAll(stored, change.stored());
      gap |= !addAll(evicted, change.evicted());
    }
    gap |= answer.next() != expected - 1;
    after = answer.next();
    if (answer.events().isEmpty() && !gap) {
      return Optional.empty();
    }
    return Optional.of(
        new SchedulerEvent.CacheReported(upstream, stored.build(), evicted.build(), gap, nowNanos));
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

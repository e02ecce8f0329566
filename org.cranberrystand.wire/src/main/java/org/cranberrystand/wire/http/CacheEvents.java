package org.cranberrystand.wire.http;

import java.util.List;

/**
 * Changes of a prefix cache, the answer to {@code GET /v1/cache-events?after=S}.
 *
 * @param events the changes after S that are still held, in order
 * @param next the S to ask for next
 */
public record CacheEvents(List<Change> events, long next) {

  /** Replaces missing parts of untrusted input. */
  public CacheEvents {
    events = events == null ? List.of() : List.copyOf(events);
  }

  /**
   * One change. Sequence numbers are consecutive from 1; a missing number is a lost event.
   *
   * @param sequence the number of the change
   * @param stored block hashes in hexadecimal that were stored
   * @param evicted block hashes in hexadecimal that were evicted
   */
  public record Change(long sequence, List<String> stored, List<String> evicted) {

    /** Replaces missing parts of untrusted input. */
    public Change {
      stored = stored == null ? List.of() : List.copyOf(stored);
      evicted = evicted == null ? List.of() : List.copyOf(evicted);
    }
  }
}

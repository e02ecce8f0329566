package org.cranberrystand.wire.http;

import java.util.List;

/**
 * Changes to the prefix cache of an engine, the response to {@code GET /v1/cache-events?after=S}.
 *
 * @param events the changes after S that the engine still retains, in order
 * @param next the value of {@code after} for the next call
 */
public record CacheEvents(List<Change> events, long next) {

  /** Replaces null lists, since the input is untrusted. */
  public CacheEvents {
    events = events == null ? List.of() : List.copyOf(events);
  }

  /**
   * One change. Sequence numbers are consecutive from 1, so a gap means a lost event.
   *
   * @param sequence the sequence number of the change
   * @param stored the hashes of the blocks that were stored, in hexadecimal
   * @param evicted the hashes of the blocks that were evicted, in hexadecimal
   */
  public record Change(long sequence, List<String> stored, List<String> evicted) {

    /** Replaces null lists, since the input is untrusted. */
    public Change {
      stored = stored == null ? List.of() : List.copyOf(stored);
      evicted = evicted == null ? List.of() : List.copyOf(evicted);
    }
  }
}

package org.cranberrystand.daemon.internal;

import com.google.common.primitives.Longs;

/** Parses the header {@code Retry-After}. Stateless. */
final class RetryAfter {
  private static final long MAX_SECONDS = 3_600;
  private static final long MILLIS_PER_SECOND = 1_000;

  private RetryAfter() {}

  /**
   * Parses a delay.
   *
   * @param value the value of the header; may be null
   * @return the delay in milliseconds, at most one hour; 0 if the value is null or not a whole
   *     number
   */
  static long parseMillis(String value) {
    Long seconds = value == null ? null : Longs.tryParse(value.strip());
    return seconds == null ? 0 : Math.max(0, Math.min(MAX_SECONDS, seconds)) * MILLIS_PER_SECOND;
  }
}

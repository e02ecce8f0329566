package org.cranberrystand.dispatch;

import com.google.common.primitives.Doubles;

/**
 * How long an upstream that refused a request wants no further requests from this node.
 *
 * <p>Immutable.
 *
 * @param millis the duration in milliseconds; 0 if the stated value cannot be used
 * @param statedValue the value as the upstream stated it
 * @param isValid whether the stated value is used as it is
 */
public record PauseRequest(long millis, String statedValue, boolean isValid) {
  /** A longer pause would take an upstream out of service because of one wrong value. */
  static final long MAX_MILLIS = 30_000;

  private static final double MILLIS_PER_SECOND = 1e3;

  /**
   * Creates a request that the upstream did not state itself.
   *
   * @param millis the duration in milliseconds
   * @return the request
   */
  public static PauseRequest ofMillis(long millis) {
    return new PauseRequest(millis, "", true);
  }

  /**
   * Interprets the value that an upstream stated.
   *
   * @param stated the duration in seconds, possibly with a fraction
   * @return the request; without a pause if the value is negative or not a number, and limited if
   *     it is too long
   */
  public static PauseRequest ofSeconds(String stated) {
    Double seconds = Doubles.tryParse(stated.strip());
    if (seconds == null || seconds.isNaN() || seconds < 0) {
      return new PauseRequest(0, stated, false);
    }
    double millis = Math.ceil(seconds * MILLIS_PER_SECOND);
    return millis > MAX_MILLIS
        ? new PauseRequest(MAX_MILLIS, stated, false)
        : new PauseRequest((long) millis, stated, true);
  }
}

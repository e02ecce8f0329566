package org.cranberrystand.dispatch;

import com.google.common.primitives.Longs;

/**
 * How much longer an upstream says that it will be cold.
 *
 * @param millis the remaining time in milliseconds; 0 if the stated value cannot be used
 * @param statedValue the value as the upstream stated it
 * @param isValid whether the value can be used
 */
public record ColdDuration(long millis, String statedValue, boolean isValid) {
  /** A longer time would hold an upstream back for long because of one wrong value. */
  public static final long MAX_MILLIS = 600_000;

  /**
   * Interprets the value that an upstream stated.
   *
   * @param stated the remaining time in whole milliseconds
   * @return the duration; invalid if the value is not a number, negative or implausibly long
   */
  public static ColdDuration ofMillis(String stated) {
    Long value = Longs.tryParse(stated.strip());
    boolean isValid = value != null && value >= 0 && value <= MAX_MILLIS;
    return new ColdDuration(isValid ? value : 0, stated, isValid);
  }
}

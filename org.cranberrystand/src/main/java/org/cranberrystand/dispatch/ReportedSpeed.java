package org.cranberrystand.dispatch;

import com.google.common.primitives.Ints;

/**
 * How long work currently takes on the VM of an upstream, as the upstream reports it.
 *
 * <p>Immutable.
 *
 * @param slowdown how many times as long as usual; 1 if the stated value cannot be used
 * @param statedValue the value as the upstream stated it
 * @param isValid whether the stated value is used
 */
public record ReportedSpeed(double slowdown, String statedValue, boolean isValid) {
  /** Values outside these bounds, in percent, are taken for errors. */
  static final int MIN_PERCENT = 10;

  static final int MAX_PERCENT = 10_000;

  private static final double PERCENT = 100;

  /**
   * Interprets the value that an upstream stated.
   *
   * @param stated the duration of work in percent of the usual
   * @return the speed; invalid if the value is implausible or no whole number
   */
  public static ReportedSpeed ofPercent(String stated) {
    Integer percent = Ints.tryParse(stated.strip());
    return percent == null || percent < MIN_PERCENT || percent > MAX_PERCENT
        ? new ReportedSpeed(1, stated, false)
        : new ReportedSpeed(percent / PERCENT, stated, true);
  }
}

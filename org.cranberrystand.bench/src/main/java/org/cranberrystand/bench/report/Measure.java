package org.cranberrystand.bench.report;

/**
 * One measured value with its bound.
 *
 * @param name the name
 * @param value the value, rounded to four decimals
 * @param bound the bound
 * @param direction whether the bound is a minimum or a maximum
 */
public record Measure(String name, double value, double bound, Direction direction) {
  private static final double ROUNDING_FACTOR = 1e4;

  /** Rounds the value. */
  public Measure {
    value = round(value);
  }

  /**
   * Creates a measure that must not exceed a bound.
   *
   * @param name the name
   * @param value the value
   * @param bound the highest value allowed
   * @return the measure
   */
  public static Measure atMost(String name, double value, double bound) {
    return new Measure(name, value, bound, Direction.AT_MOST);
  }

  /**
   * Rounds a value for a report.
   *
   * @param value any finite value
   * @return the value with four decimals
   */
  public static double round(double value) {
    return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR;
  }

  /**
   * Returns whether the value meets the bound.
   *
   * @return true if it passes
   */
  public boolean pass() {
    return direction.passes(value, bound);
  }
}

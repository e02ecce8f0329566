package org.cranberrystand.bench.report;

/**
 * One measured value with its bound.
 *
 * @param name the name
 * @param value the value, rounded to four decimals
 * @param bound the bound
 * @param direction the side of the bound on which it passes
 */
public record Measure(String name, double value, double bound, Direction direction) {
  private static final double DECIMALS = 1e4;

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
    return Math.round(value * DECIMALS) / DECIMALS;
  }

  /**
   * Tells whether the value is on the right side of the bound.
   *
   * @return true if it passes
   */
  public boolean pass() {
    return direction.passes(value, bound);
  }
}

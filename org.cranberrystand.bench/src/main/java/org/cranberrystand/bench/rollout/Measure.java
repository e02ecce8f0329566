package org.cranberrystand.bench.rollout;

/**
 * One figure of a benchmark with its bound.
 *
 * @param name the name of the figure
 * @param value the value measured
 * @param bound the value that must not be exceeded; NaN is written for figures without bound
 * @param direction {@code lower} when lower values are better
 * @param pass whether the value keeps the bound
 */
public record Measure(String name, double value, double bound, String direction, boolean pass) {
  private static final String LOWER = "lower";

  /**
   * Creates a figure that must not exceed a bound.
   *
   * @param name the name
   * @param value the value
   * @param bound the highest value allowed
   * @return the measure
   */
  public static Measure atMost(String name, double value, double bound) {
    return new Measure(name, value, bound, LOWER, value <= bound);
  }
}

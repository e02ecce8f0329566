package org.cranberrystand.bench.report;

/** Side of a bound on which a measure passes. */
public enum Direction {
  /** The value must reach the bound. */
  AT_LEAST("at-least") {
    @Override
    public boolean passes(double value, double bound) {
      return value >= bound;
    }

    @Override
    public double worse(double a, double b) {
      return Math.min(a, b);
    }
  },
  /** The value must not exceed the bound. */
  AT_MOST("at-most") {
    @Override
    public boolean passes(double value, double bound) {
      return value <= bound;
    }

    @Override
    public double worse(double a, double b) {
      return Math.max(a, b);
    }
  };

  private final String label;

  Direction(String label) {
    this.label = label;
  }

  /**
   * Tells whether a value is on the right side.
   *
   * @param value the measured value
   * @param bound the bound
   * @return true if it passes
   */
  public abstract boolean passes(double value, double bound);

  /**
   * Returns the value that is further on the wrong side.
   *
   * @param a a value
   * @param b another value
   * @return the worse of the two
   */
  public abstract double worse(double a, double b);

  /**
   * Returns the name used in reports.
   *
   * @return the lower-case name
   */
  public String label() {
    return label;
  }
}

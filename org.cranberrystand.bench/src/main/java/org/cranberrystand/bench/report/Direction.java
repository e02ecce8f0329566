package org.cranberrystand.bench.report;

/** Direction of the bound that a measure must meet. */
public enum Direction {
  /** The value must be at least the bound. */
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
  /** The value must be at most the bound. */
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
   * Returns whether a value meets a bound.
   *
   * @param value the measured value
   * @param bound the bound
   * @return true if it passes
   */
  public abstract boolean passes(double value, double bound);

  /**
   * Returns the worse of two values.
   *
   * @param a a value
   * @param b another value
   * @return the lower or the higher of the two, depending on the direction
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

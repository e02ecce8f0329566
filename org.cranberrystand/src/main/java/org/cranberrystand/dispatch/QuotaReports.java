package org.cranberrystand.dispatch;

/**
 * The ways on which nodes learn of the quota usage of other nodes. Usage that is not reported yet
 * limits how much of a tolerance may be granted as a surplus.
 */
public enum QuotaReports {
  /** All nodes report to each other. */
  DIRECT(0.15, 0.3, 0.4),

  /** Usage of other cells arrives as a sum, over the heads of two cells. */
  BETWEEN_CELLS(0.4, 0.1, 0.1);

  private final double delaySeconds;
  private final double overdraftFraction;
  private final double surplusFraction;

  QuotaReports(double delaySeconds, double overdraftFraction, double surplusFraction) {
    this.delaySeconds = delaySeconds;
    this.overdraftFraction = overdraftFraction;
    this.surplusFraction = surplusFraction;
  }

  /**
   * Returns the age of the usage in a report on its arrival.
   *
   * @return the usual age in seconds
   */
  double delaySeconds() {
    return delaySeconds;
  }

  /**
   * Returns how much of the tolerance a team may use at once.
   *
   * @return a fraction of the tolerance
   */
  double overdraftFraction() {
    return overdraftFraction;
  }

  /**
   * Returns how much of the tolerance a team may use evenly over each window.
   *
   * @return a fraction of the tolerance
   */
  double surplusFraction() {
    return surplusFraction;
  }
}

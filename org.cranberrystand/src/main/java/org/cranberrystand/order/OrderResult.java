package org.cranberrystand.order;

/** What became of an order. */
public enum OrderResult {
  /** The engine follows the order. */
  ACCEPTED(false),
  /** The engine has seen a higher fencing number; another node orders it. */
  FENCED(false),
  /** The weight store refused because of its rate limit. */
  RATE_LIMITED(true),
  /** The engine did not answer or answered with an error. */
  FAILED(true);

  private final boolean backOff;

  OrderResult(boolean backOff) {
    this.backOff = backOff;
  }

  /**
   * Tells whether the node waits longer before the next order.
   *
   * @return true after failures that a quick repetition would make worse
   */
  public boolean isBackOff() {
    return backOff;
  }
}

package org.cranberrystand.order;

/** Result of an order sent to an engine. */
public enum OrderResult {
  /** The engine accepted the order. */
  ACCEPTED(false),
  /** The engine rejected the order because another node sent a higher fencing number. */
  FENCED(false),
  /** The weight store rejected the download because of its rate limit. */
  RATE_LIMITED(true),
  /** The engine did not respond or responded with an error. */
  FAILED(true);

  private final boolean requiresBackoff;

  OrderResult(boolean requiresBackoff) {
    this.requiresBackoff = requiresBackoff;
  }

  /**
   * Returns whether the node must back off before it sends the next order.
   *
   * @return true for failures that an immediate retry would make worse
   */
  public boolean requiresBackoff() {
    return requiresBackoff;
  }
}

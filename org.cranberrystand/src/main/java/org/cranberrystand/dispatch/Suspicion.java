package org.cranberrystand.dispatch;

/** How much a key of requests is suspected to crash upstreams. */
public enum Suspicion {
  /** Too few upstreams crashed, or the refusal is over. */
  NONE(false),

  /** Another key explains all crashes, and is more suspect. */
  EXPLAINED(false),

  /**
   * Other keys explain the crashes as well. Requests with all of these keys are refused; of those
   * with some of them, one at a time is sent to find out.
   */
  UNDECIDED(true),

  /** No other key explains the crashes; requests with the key are refused. */
  CERTAIN(true);

  private final boolean refuses;

  Suspicion(boolean refuses) {
    this.refuses = refuses;
  }

  /**
   * Returns whether requests are refused because of the key.
   *
   * @return true if some or all requests with the key are refused
   */
  public boolean refuses() {
    return refuses;
  }
}

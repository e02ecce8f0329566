package org.cranberrystand.placement;

/** What a {@link PrefixIndex} does with its entries of an engine after cache events were lost. */
public enum CacheGapPolicy {
  /** Forgets all entries. */
  DROP(0),
  /** Keeps all entries as they are. */
  KEEP(1),
  /** Counts entries in part until one later observation confirms them. */
  UNCERTAIN(0.5);

  private final double confidence;

  CacheGapPolicy(double confidence) {
    this.confidence = confidence;
  }

  /**
   * Returns how much an entry from before the gap counts.
   *
   * @return a factor from 0 to 1
   */
  public double confidence() {
    return confidence;
  }
}

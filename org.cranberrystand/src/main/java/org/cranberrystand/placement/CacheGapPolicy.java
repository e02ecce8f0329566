package org.cranberrystand.placement;

/** How a {@link PrefixIndex} treats its entries for an engine after cache events were lost. */
public enum CacheGapPolicy {
  /** Removes all entries. */
  DROP(0),
  /** Keeps all entries at full confidence. */
  KEEP(1),
  /** Keeps all entries at half confidence until a later dispatch or cache event confirms them. */
  UNCERTAIN(0.5);

  private final double confidence;

  CacheGapPolicy(double confidence) {
    this.confidence = confidence;
  }

  /**
   * Returns the confidence in an entry from before the gap.
   *
   * @return the weight of the entry, from 0 to 1
   */
  public double confidence() {
    return confidence;
  }
}

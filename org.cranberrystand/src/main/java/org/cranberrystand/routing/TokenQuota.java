package org.cranberrystand.routing;

/**
 * Token-bucket quota of a team over all nodes together. The unit is one token or one request.
 *
 * @param unitsPerSecond the refill rate; 0 means no limit
 * @param burstUnits the size of the bucket, which bounds a burst
 * @param countsTokens whether a request costs its number of tokens; otherwise it costs 1 unit
 * @param defaultRequestTokens the cost of a request that declares no tokens
 */
public record TokenQuota(
    double unitsPerSecond, double burstUnits, boolean countsTokens, double defaultRequestTokens) {
  /** No limit. */
  public static final TokenQuota UNLIMITED = new TokenQuota(0, 0, false, 0);

  public boolean isLimited() {
    return unitsPerSecond > 0;
  }

  /**
   * Returns the cost of a request.
   *
   * @param tokens prompt tokens plus the maximum number of output tokens; 0 if not declared
   * @return the cost in units of this quota
   */
  public double cost(long tokens) {
    if (!countsTokens) {
      return 1;
    }
    return tokens > 0 ? tokens : defaultRequestTokens;
  }
}

package org.cranberrystand.routing;

/**
 * What the requests of a team may cost over all nodes together.
 *
 * @param unitsPerSecond the rate; 0 means no limit
 * @param burstUnits what may be used at once after a time without use
 * @param countsTokens whether a request costs its tokens; otherwise it costs 1
 * @param plainRequestTokens what a request without token counts costs
 */
public record TokenQuota(
    double unitsPerSecond, double burstUnits, boolean countsTokens, double plainRequestTokens) {
  /** No limit. */
  public static final TokenQuota UNLIMITED = new TokenQuota(0, 0, false, 0);

  public boolean isLimited() {
    return unitsPerSecond > 0;
  }

  /**
   * Returns what a request costs.
   *
   * @param tokens prompt tokens and the greatest number of output tokens; 0 if not declared
   * @return the cost in units of this quota
   */
  public double cost(long tokens) {
    if (!countsTokens) {
      return 1;
    }
    return tokens > 0 ? tokens : plainRequestTokens;
  }
}

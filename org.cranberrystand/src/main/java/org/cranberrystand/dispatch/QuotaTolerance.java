package org.cranberrystand.dispatch;

import org.cranberrystand.routing.TokenQuota;

/**
 * How far a team may exceed its quota within a time window, over all nodes.
 *
 * @param windowSeconds the length of the window in seconds
 * @param excessFraction the allowed excess as a fraction of what the quota grants in the window
 * @param slackUnits the allowed excess in addition to the fraction, in units
 */
public record QuotaTolerance(double windowSeconds, double excessFraction, double slackUnits) {
  /** The rest of the tolerance covers usage that other nodes have not reported yet. */
  private static final double USED_FRACTION = 0.5;

  /**
   * Returns how far the balance of a team may fall below zero.
   *
   * @param quota the quota of the team
   * @return the allowed overdraft in units
   */
  public double overdraftUnits(TokenQuota quota) {
    double windowUnits = quota.unitsPerSecond() * windowSeconds + quota.burstUnits();
    return USED_FRACTION * (excessFraction * windowUnits + slackUnits);
  }
}

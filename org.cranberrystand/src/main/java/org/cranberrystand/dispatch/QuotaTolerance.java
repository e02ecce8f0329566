package org.cranberrystand.dispatch;

import org.cranberrystand.routing.TokenQuota;

/**
 * How far the requests of a team may exceed its quota within a window, over all nodes.
 *
 * @param windowSeconds the length of the window
 * @param overFraction the excess as part of what the quota allows within the window
 * @param slackUnits the excess in addition
 */
public record QuotaTolerance(double windowSeconds, double overFraction, double slackUnits) {
  /**
   * Part of the tolerance that is used; the rest covers what nodes have not heard of each other.
   */
  private static final double USED = 0.5;

  /**
   * Returns how far a team may overdraw.
   *
   * @param quota its quota
   * @return units below zero to which its balance may fall
   */
  public double overdraftUnits(TokenQuota quota) {
    double windowUnits = quota.unitsPerSecond() * windowSeconds + quota.burstUnits();
    return USED * (overFraction * windowUnits + slackUnits);
  }
}

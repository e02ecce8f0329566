package org.cranberrystand.dispatch;

import org.cranberrystand.routing.TokenQuota;

/**
 * How far a team may exceed its quota within a time window, over all nodes.
 *
 * <p>Part of the tolerance is granted as a surplus from spare capacity. The rest covers usage that
 * other nodes have not reported yet.
 *
 * @param windowSeconds the length of the window in seconds
 * @param excessFraction the allowed excess as a fraction of what the quota grants in the window
 * @param slackUnits the allowed excess in addition to the fraction, in units
 */
public record QuotaTolerance(double windowSeconds, double excessFraction, double slackUnits) {
  /**
   * Returns how far the balance of a team may fall below zero before a request that uses spare
   * capacity.
   *
   * @param quota the quota of the team
   * @param reports how nodes learn of each other's usage
   * @return the allowed overdraft in units
   */
  double overdraftUnits(TokenQuota quota, QuotaReports reports) {
    return reports.overdraftFraction() * toleratedUnits(quota);
  }

  /**
   * Returns how fast the balance of a team that exceeds its quota rises in addition to its rate.
   *
   * @param quota the quota of the team
   * @param reports how nodes learn of each other's usage
   * @return the additional units per second
   */
  double surplusUnitsPerSecond(TokenQuota quota, QuotaReports reports) {
    return reports.surplusFraction() * toleratedUnits(quota) / windowSeconds;
  }

  private double toleratedUnits(TokenQuota quota) {
    double windowUnits = quota.unitsPerSecond() * windowSeconds + quota.burstUnits();
    return excessFraction * windowUnits + slackUnits;
  }
}

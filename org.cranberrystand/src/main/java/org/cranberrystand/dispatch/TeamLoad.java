package org.cranberrystand.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.cranberrystand.fairness.TeamShares;
import org.cranberrystand.fairness.TeamUsage;

/**
 * The recent load of the teams of one pool on this node, from which the rate at which a team is
 * served is estimated. Designed for 24,000 teams. Not thread-safe.
 */
final class TeamLoad {
  /** Weight of a new request in the average cost. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** Random arrivals make the measured demand of a team vary by about a tenth. */
  private static final double ABOVE_SHARE_FACTOR = 1.2;

  private final Map<String, Double> weights = new HashMap<>();
  private final TeamShares fleetShares = new TeamShares(team -> weights.getOrDefault(team, 1.0));
  private final TeamUsage demand = new TeamUsage();
  private final TeamShares shares = new TeamShares(team -> weights.getOrDefault(team, 1.0));
  private double meanCostTokens;

  /** Records the arrival of a request. */
  void arrived(CallSpec call, long nowNanos) {
    if (call.teamWeight() == 1) {
      weights.remove(call.team());
    } else {
      weights.put(call.team(), call.teamWeight());
    }
    shares.recordArrival(call.team(), nowNanos);
    fleetShares.recordArrival(call.team(), nowNanos);
    demand.recordService(call.team(), call.costTokens(), nowNanos);
    meanCostTokens =
        meanCostTokens == 0
            ? call.costTokens()
            : meanCostTokens + SMOOTHING_FACTOR * (call.costTokens() - meanCostTokens);
  }

  /** Records that a request was sent to an upstream. */
  void sent(CallSpec call, long nowNanos) {
    shares.recordService(call.team(), call.costTokens(), nowNanos);
    fleetShares.recordService(call.team(), call.costTokens(), nowNanos);
  }

  /** Records what a team used at other nodes. */
  void usedElsewhere(String team, double tokens, long nowNanos) {
    fleetShares.recordArrival(team, nowNanos);
    fleetShares.recordService(team, tokens, nowNanos);
    demand.recordService(team, tokens, nowNanos);
  }

  /** Returns the tokens that a team recently used on this node, per second. */
  double ownTokensPerSecond(String team, long nowNanos) {
    return shares.tokensPerSecond(team, nowNanos);
  }

  /** Returns the tokens that all teams recently used on this node, per second. */
  double ownTokensPerSecond(long nowNanos) {
    return shares.totalTokensPerSecond(nowNanos);
  }

  /** Returns whether other teams use the pool and a team wants no more than its share. */
  boolean isWithinShare(String team, double occupancy, long nowNanos) {
    return fleetShares.fairFraction(team) < 1
        && demand.tokensPerSecond(team, nowNanos)
            <= ABOVE_SHARE_FACTOR * fairTokensPerSecond(team, occupancy, nowNanos);
  }

  private double fairTokensPerSecond(String team, double occupancy, long nowNanos) {
    double capacityTokensPerSecond = fleetShares.totalTokensPerSecond(nowNanos) / occupancy;
    return fleetShares.fairFraction(team) * capacityTokensPerSecond;
  }

  /**
   * Estimates the rate at which the requests of a team are served while it has a backlog. A team
   * that uses more than its share gets what the others leave, which is what it got recently. The
   * turn of other teams comes as soon as the teams that wait now allow it.
   *
   * @param call a request of the team
   * @param waitingFraction the share of the team among the teams that wait now
   * @param callsPerSecond the rate at which this node sends requests to the pool
   * @return tokens per second, above 0
   */
  double tokensPerSecond(
      CallSpec call, double waitingFraction, double callsPerSecond, long nowNanos) {
    double served = shares.servedFraction(call.team(), nowNanos);
    double fraction = served > shares.fairFraction(call.team()) ? served : waitingFraction;
    return callsPerSecond * meanCostTokens * fraction;
  }

  /** Forgets teams without recent service. */
  void refresh(long nowNanos) {
    shares.refresh(nowNanos);
    fleetShares.refresh(nowNanos);
    demand.removeIdle(nowNanos);
  }
}

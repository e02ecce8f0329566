package org.cranberrystand.fairness;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Compares the recent service and demand of teams with their weighted shares. Not thread-safe.
 *
 * <p>Works also without a queue, where fair queueing cannot balance teams. Designed for 24,000
 * teams; recording takes constant time on average.
 */
public final class TeamShares {
  private static final long DEMAND_LIFETIME_NANOS = 3_000_000_000L;

  private static final class Demand {
    private double weight;
    private long lastArrivalNanos;
  }

  private final ToDoubleFunction<String> weights;
  private final TeamUsage usage = new TeamUsage();
  private final Map<String, Demand> demandByTeam = new LinkedHashMap<>(16, 0.75f, true);
  private double totalWeight;

  /**
   * Creates shares without teams.
   *
   * @param weights returns the weight of a team, above 0
   */
  public TeamShares(ToDoubleFunction<String> weights) {
    this.weights = weights;
  }

  /**
   * Records that a request of a team arrived.
   *
   * @param team the team
   * @param nowNanos the current time
   */
  public void recordArrival(String team, long nowNanos) {
    Demand demand = demandByTeam.computeIfAbsent(team, name -> new Demand());
    totalWeight -= demand.weight;
    demand.weight = weights.applyAsDouble(team);
    demand.lastArrivalNanos = nowNanos;
    totalWeight += demand.weight;
    for (Iterator<Demand> i = demandByTeam.values().iterator(); i.hasNext(); ) {
      Demand oldest = i.next();
      if (nowNanos - oldest.lastArrivalNanos < DEMAND_LIFETIME_NANOS) {
        break;
      }
      totalWeight -= oldest.weight;
      i.remove();
    }
  }

  /**
   * Records service of a team.
   *
   * @param team the team
   * @param tokens the cost of the service; negative for a refund
   * @param nowNanos the current time
   */
  public void recordService(String team, double tokens, long nowNanos) {
    usage.recordService(team, tokens, nowNanos);
  }

  /**
   * Returns whether a team got less than its weighted share among the teams with demand.
   *
   * @param team the team
   * @param nowNanos the current time
   * @return false if no other team has demand
   */
  public boolean isUnderserved(String team, long nowNanos) {
    Demand demand = demandByTeam.get(team);
    return demandByTeam.size() > 1
        && demand != null
        && usage.tokensPerSecond(team, nowNanos) / Math.max(1e-9, demand.weight)
            < usage.totalTokensPerSecond(nowNanos) / Math.max(1e-9, totalWeight);
  }

  /**
   * Returns the weighted share of a team among the teams with recent arrivals.
   *
   * @param team the team
   * @return a fraction; 1 if no other team has demand, 0 if the team has none
   */
  public double fairFraction(String team) {
    Demand demand = demandByTeam.get(team);
    return demand == null ? 0 : demand.weight / Math.max(1e-9, totalWeight);
  }

  /**
   * Returns the fraction of the recent service that a team got.
   *
   * @param team the team
   * @param nowNanos the current time
   * @return a fraction; 0 if the team got nothing
   */
  public double servedFraction(String team, long nowNanos) {
    double total = usage.totalTokensPerSecond(nowNanos);
    return total <= 0 ? 0 : Math.min(1, usage.tokensPerSecond(team, nowNanos) / total);
  }

  /**
   * Returns the recent service of a team.
   *
   * @param team the team
   * @param nowNanos the current time
   * @return tokens per second
   */
  public double tokensPerSecond(String team, long nowNanos) {
    return usage.tokensPerSecond(team, nowNanos);
  }

  /**
   * Returns the recent service of all teams.
   *
   * @param nowNanos the current time
   * @return tokens per second
   */
  public double totalTokensPerSecond(long nowNanos) {
    return usage.totalTokensPerSecond(nowNanos);
  }

  /**
   * Removes teams without recent service.
   *
   * @param nowNanos the current time
   */
  public void refresh(long nowNanos) {
    usage.removeIdle(nowNanos);
  }
}

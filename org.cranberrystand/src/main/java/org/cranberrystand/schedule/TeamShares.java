package org.cranberrystand.schedule;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Finds teams of a tier whose recent service is below their weighted share.
 *
 * <p>While more urgent work is shed, a less urgent tier has no queue, so fair queueing cannot
 * balance its teams. Not thread-safe.
 */
final class TeamShares {
  private static final long DEMAND_LIFETIME_NANOS = 3_000_000_000L;

  private static final class Demand {
    private double weight;
    private long lastArrivalNanos;
  }

  private final ToDoubleFunction<String> weights;
  private final TeamUsage usage = new TeamUsage();
  private final Map<String, Demand> demandByTeam = new LinkedHashMap<>(16, 0.75f, true);
  private double totalWeight;

  TeamShares(ToDoubleFunction<String> weights) {
    this.weights = weights;
  }

  void recordArrival(String team, long nowNanos) {
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

  void recordService(String team, double tokens, long nowNanos) {
    usage.recordService(team, tokens, nowNanos);
  }

  /** Returns whether a team got less than its weighted share among the teams with demand. */
  boolean isUnderserved(String team, long nowNanos) {
    Demand demand = demandByTeam.get(team);
    return demandByTeam.size() > 1
        && demand != null
        && usage.tokensPerSecond(team, nowNanos) / Math.max(1e-9, demand.weight)
            < usage.totalTokensPerSecond(nowNanos) / Math.max(1e-9, totalWeight);
  }

  /** Removes teams without recent service. */
  void refresh(long nowNanos) {
    usage.removeIdle(nowNanos);
  }
}

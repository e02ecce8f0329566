package org.cranberrystand.schedule;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Tells which teams of a tier got less than their share lately.
 *
 * <p>While urgent work is shed, lower tiers have no queue, so the order of the queue cannot make
 * their service fair. Not thread-safe.
 */
final class TeamShares {
  private static final long DEMAND_LIFETIME_NANOS = 3_000_000_000L;

  private static final class Demand {
    private double weight;
    private long arrivedNanos;
  }

  private final ToDoubleFunction<String> weights;
  private final TeamUsage usage = new TeamUsage();
  private final Map<String, Demand> demands = new LinkedHashMap<>(16, 0.75f, true);
  private double weightSum;

  TeamShares(ToDoubleFunction<String> weights) {
    this.weights = weights;
  }

  void arrived(String team, long nowNanos) {
    Demand demand = demands.computeIfAbsent(team, name -> new Demand());
    weightSum -= demand.weight;
    demand.weight = weights.applyAsDouble(team);
    demand.arrivedNanos = nowNanos;
    weightSum += demand.weight;
    for (Iterator<Demand> i = demands.values().iterator(); i.hasNext(); ) {
      Demand oldest = i.next();
      if (nowNanos - oldest.arrivedNanos < DEMAND_LIFETIME_NANOS) {
        break;
      }
      weightSum -= oldest.weight;
      i.remove();
    }
  }

  void served(String team, double tokens, long nowNanos) {
    usage.served(team, tokens, nowNanos);
  }

  /** Tells whether a team got less than its part of the service among the teams with demand. */
  boolean isBehind(String team, long nowNanos) {
    Demand demand = demands.get(team);
    return demands.size() > 1
        && demand != null
        && usage.perSecond(team, nowNanos) / Math.max(1e-9, demand.weight)
            < usage.totalPerSecond(nowNanos) / Math.max(1e-9, weightSum);
  }

  /** Forgets teams without recent service. */
  void refresh(long nowNanos) {
    usage.forgetIdle(nowNanos);
  }
}

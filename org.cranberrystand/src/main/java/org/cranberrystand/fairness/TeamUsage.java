package org.cranberrystand.fairness;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Recent service of each team on this node, as exponentially decaying token rates.
 *
 * <p>Not thread-safe.
 */
public final class TeamUsage {
  private static final double TIME_CONSTANT_SECONDS = 5;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double IDLE_BELOW_TOKENS = 0.5;

  private static final class DecayingSum {
    private double tokens;
    private long updatedNanos;

    double decayedTokens(long nowNanos) {
      double seconds = Math.max(0, (nowNanos - updatedNanos) / NANOS_PER_SECOND);
      return tokens * Math.exp(-seconds / TIME_CONSTANT_SECONDS);
    }
  }

  private final Map<String, DecayingSum> sumByTeam = new HashMap<>();
  private final DecayingSum total = new DecayingSum();

  /**
   * Records service of a team.
   *
   * @param team the team
   * @param tokens the cost of the service; negative for a refund
   * @param nowNanos the current time
   */
  public void recordService(String team, double tokens, long nowNanos) {
    DecayingSum sum = sumByTeam.computeIfAbsent(team, name -> new DecayingSum());
    sum.tokens = Math.max(0, sum.decayedTokens(nowNanos) + tokens);
    sum.updatedNanos = nowNanos;
    total.tokens = Math.max(0, total.decayedTokens(nowNanos) + tokens);
    total.updatedNanos = nowNanos;
  }

  /**
   * Returns the recent service of all teams.
   *
   * @param nowNanos the current time
   * @return tokens per second
   */
  public double totalTokensPerSecond(long nowNanos) {
    return total.decayedTokens(nowNanos) / TIME_CONSTANT_SECONDS;
  }

  /**
   * Returns the recent service of a team.
   *
   * @param team the team
   * @param nowNanos the current time
   * @return tokens per second; 0 if it is unknown
   */
  public double tokensPerSecond(String team, long nowNanos) {
    DecayingSum sum = sumByTeam.get(team);
    return sum == null ? 0 : sum.decayedTokens(nowNanos) / TIME_CONSTANT_SECONDS;
  }

  /**
   * Removes teams without recent service.
   *
   * @param nowNanos the current time
   */
  public void removeIdle(long nowNanos) {
    sumByTeam.values().removeIf(r -> r.decayedTokens(nowNanos) < IDLE_BELOW_TOKENS);
  }

  /**
   * Returns the teams with the most service.
   *
   * @param limit the largest number of teams
   * @param nowNanos the current time
   * @return tokens per second, by team
   */
  public ImmutableMap<String, Long> largestTeams(int limit, long nowNanos) {
    removeIdle(nowNanos);
    return sumByTeam.entrySet().stream()
        .sorted(
            Comparator.comparingDouble(
                    (Map.Entry<String, DecayingSum> e) -> e.getValue().decayedTokens(nowNanos))
                .reversed()
                .thenComparing(Map.Entry::getKey))
        .limit(limit)
        .collect(
            ImmutableMap.toImmutableMap(
                Map.Entry::getKey,
                e -> Math.round(e.getValue().decayedTokens(nowNanos) / TIME_CONSTANT_SECONDS)));
  }
}

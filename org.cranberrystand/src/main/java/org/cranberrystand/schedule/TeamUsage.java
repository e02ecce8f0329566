package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Recent service of each team on this node, as exponentially decaying token rates.
 *
 * <p>Not thread-safe.
 */
final class TeamUsage {
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

  void recordService(String team, double tokens, long nowNanos) {
    DecayingSum sum = sumByTeam.computeIfAbsent(team, name -> new DecayingSum());
    sum.tokens = Math.max(0, sum.decayedTokens(nowNanos) + tokens);
    sum.updatedNanos = nowNanos;
    total.tokens = Math.max(0, total.decayedTokens(nowNanos) + tokens);
    total.updatedNanos = nowNanos;
  }

  double totalTokensPerSecond(long nowNanos) {
    return total.decayedTokens(nowNanos) / TIME_CONSTANT_SECONDS;
  }

  double tokensPerSecond(String team, long nowNanos) {
    DecayingSum sum = sumByTeam.get(team);
    return sum == null ? 0 : sum.decayedTokens(nowNanos) / TIME_CONSTANT_SECONDS;
  }

  /** Removes teams without recent service. */
  void removeIdle(long nowNanos) {
    sumByTeam.values().removeIf(r -> r.decayedTokens(nowNanos) < IDLE_BELOW_TOKENS);
  }

  /** Returns the rates in tokens per second of the teams with the most service. */
  ImmutableMap<String, Long> largestTeams(int limit, long nowNanos) {
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

package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/** Recent service of each team on this node, in tokens per second. Not thread-safe. */
final class TeamUsage {
  private static final double TIME_CONSTANT_SECONDS = 5;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double FORGET_BELOW = 0.5;

  private static final class Rate {
    private double tokens;
    private long updatedNanos;

    double decayed(long nowNanos) {
      double seconds = Math.max(0, (nowNanos - updatedNanos) / NANOS_PER_SECOND);
      return tokens * Math.exp(-seconds / TIME_CONSTANT_SECONDS);
    }
  }

  private final Map<String, Rate> rates = new HashMap<>();
  private final Rate total = new Rate();

  void served(String team, double tokens, long nowNanos) {
    Rate rate = rates.computeIfAbsent(team, name -> new Rate());
    rate.tokens = Math.max(0, rate.decayed(nowNanos) + tokens);
    rate.updatedNanos = nowNanos;
    total.tokens = Math.max(0, total.decayed(nowNanos) + tokens);
    total.updatedNanos = nowNanos;
  }

  double totalPerSecond(long nowNanos) {
    return total.decayed(nowNanos) / TIME_CONSTANT_SECONDS;
  }

  double perSecond(String team, long nowNanos) {
    Rate rate = rates.get(team);
    return rate == null ? 0 : rate.decayed(nowNanos) / TIME_CONSTANT_SECONDS;
  }

  /** Forgets teams without recent service. */
  void forgetIdle(long nowNanos) {
    rates.values().removeIf(r -> r.decayed(nowNanos) < FORGET_BELOW);
  }

  /** Returns the rates of the teams with the most service. */
  ImmutableMap<String, Long> largest(int limit, long nowNanos) {
    forgetIdle(nowNanos);
    return rates.entrySet().stream()
        .sorted(
            Comparator.comparingDouble(
                    (Map.Entry<String, Rate> e) -> e.getValue().decayed(nowNanos))
                .reversed()
                .thenComparing(Map.Entry::getKey))
        .limit(limit)
        .collect(
            ImmutableMap.toImmutableMap(
                Map.Entry::getKey,
                e -> Math.round(e.getValue().decayed(nowNanos) / TIME_CONSTANT_SECONDS)));
  }
}

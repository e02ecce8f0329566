package org.cranberrystand.bench.policy;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.cranberrystand.bundle.Tier;

/** Queued requests and their cost by pool and tier, as seen from outside the policy. */
final class QueueCounts {
  private final Map<String, Map<Tier, Integer>> counts = new HashMap<>();
  private final Map<Tier, Long> tokens = new EnumMap<>(Tier.class);

  void add(SimRequest request) {
    change(request, 1);
  }

  void remove(SimRequest request) {
    change(request, -1);
  }

  private void change(SimRequest request, int step) {
    counts
        .computeIfAbsent(request.item.kind().pool(), pool -> new EnumMap<>(Tier.class))
        .merge(request.tier(), step, Integer::sum);
    tokens.merge(request.tier(), step * request.costTokens(), Long::sum);
  }

  /** Tells whether less urgent work is queued for the pool of an urgent request. */
  boolean holdsLessUrgentThan(SimRequest request) {
    if (request.tier() != Tier.URGENT) {
      return false;
    }
    return counts.getOrDefault(request.item.kind().pool(), Map.of()).entrySet().stream()
        .anyMatch(e -> e.getKey().isLessUrgentThan(Tier.URGENT) && e.getValue() > 0);
  }

  Map<Tier, Long> tokensByTier() {
    return tokens;
  }
}

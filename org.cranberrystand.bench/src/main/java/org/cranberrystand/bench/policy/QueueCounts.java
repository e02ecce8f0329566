package org.cranberrystand.bench.policy;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.cranberrystand.bundle.Tier;

/** Counts queued requests by pool and tier, and their tokens by tier, independent of the policy. */
final class QueueCounts {
  private final Map<String, Map<Tier, Integer>> requestsByPoolAndTier = new HashMap<>();
  private final Map<Tier, Long> tokensByTier = new EnumMap<>(Tier.class);

  void add(SimRequest request) {
    adjust(request, 1);
  }

  void remove(SimRequest request) {
    adjust(request, -1);
  }

  private void adjust(SimRequest request, int delta) {
    requestsByPoolAndTier
        .computeIfAbsent(request.item.kind().pool(), pool -> new EnumMap<>(Tier.class))
        .merge(request.tier(), delta, Integer::sum);
    tokensByTier.merge(request.tier(), delta * request.costTokens(), Long::sum);
  }

  /** Returns true if a request is urgent and its pool has less urgent requests in the queue. */
  boolean hasLessUrgentThan(SimRequest request) {
    if (request.tier() != Tier.URGENT) {
      return false;
    }
    return requestsByPoolAndTier
        .getOrDefault(request.item.kind().pool(), Map.of())
        .entrySet()
        .stream()
        .anyMatch(e -> e.getKey().isLessUrgentThan(Tier.URGENT) && e.getValue() > 0);
  }

  Map<Tier, Long> tokensByTier() {
    return tokensByTier;
  }
}

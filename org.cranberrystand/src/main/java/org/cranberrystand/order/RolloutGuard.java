package org.cranberrystand.order;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Halts the rollout of a model version in a pool when goodput falls.
 *
 * <p>The goodput at the first order under a bundle is the baseline. A halt lasts until another
 * bundle is in force, since only operators can tell whether the version or the load is the cause.
 * Not thread-safe.
 */
final class RolloutGuard {
  /** Fall of goodput, as a part of all requests, that halts a rollout. */
  private static final double MAX_FALL = 0.05;

  /** Successive observations below the limit, so that one bad second does not halt a rollout. */
  private static final int OBSERVATIONS_TO_HALT = 3;

  private final Map<String, Double> baselines = new HashMap<>();
  private final Map<String, Integer> lowObservations = new HashMap<>();
  private final Set<String> halted = new HashSet<>();
  private long bundleVersion;

  /** Forgets baselines and halts when another bundle is in force. */
  void onBundle(long version) {
    if (version != bundleVersion) {
      bundleVersion = version;
      baselines.clear();
      lowObservations.clear();
      halted.clear();
    }
  }

  /** Notes the goodput of a pool; has no effect before the first order. */
  void observe(String pool, Double goodput) {
    Double baseline = baselines.get(pool);
    if (goodput == null || baseline == null) {
      return;
    }
    if (goodput >= baseline - MAX_FALL) {
      lowObservations.remove(pool);
    } else if (lowObservations.merge(pool, 1, Integer::sum) >= OBSERVATIONS_TO_HALT) {
      halted.add(pool);
    }
  }

  /** Takes the baseline at the first order of a pool. */
  void onOrder(String pool, Double goodput) {
    if (goodput != null) {
      baselines.putIfAbsent(pool, goodput);
    }
  }

  boolean isHalted(String pool) {
    return halted.contains(pool);
  }

  Set<String> halted() {
    return Set.copyOf(halted);
  }
}

package org.cranberrystand.order;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Halts the rollout of a model version in a pool when the goodput of the pool drops.
 *
 * <p>The baseline is the goodput at the first order under a bundle. A halt lasts until another
 * bundle becomes active, because only an operator can tell whether the model version or the load
 * caused the drop. Not thread-safe.
 */
final class RolloutGuard {
  /** Drop of goodput below the baseline, as a fraction of all requests, that halts a rollout. */
  private static final double MAX_GOODPUT_DROP = 0.05;

  /** Consecutive low observations required, so that one bad second does not halt a rollout. */
  private static final int LOW_OBSERVATIONS_TO_HALT = 3;

  private final Map<String, Double> baselines = new HashMap<>();
  private final Map<String, Integer> lowObservations = new HashMap<>();
  private final Set<String> haltedPools = new HashSet<>();
  private long bundleVersion;

  /** Resets baselines and halts if the version of the active bundle has changed. */
  void onBundle(long version) {
    if (version != bundleVersion) {
      bundleVersion = version;
      baselines.clear();
      lowObservations.clear();
      haltedPools.clear();
    }
  }

  /** Compares the goodput of a pool with its baseline; has no effect before the first order. */
  void recordGoodput(String pool, Double goodput) {
    Double baseline = baselines.get(pool);
    if (goodput == null || baseline == null) {
      return;
    }
    if (goodput >= baseline - MAX_GOODPUT_DROP) {
      lowObservations.remove(pool);
    } else if (lowObservations.merge(pool, 1, Integer::sum) >= LOW_OBSERVATIONS_TO_HALT) {
      haltedPools.add(pool);
    }
  }

  /** Sets the baseline of a pool at its first order. */
  void onOrder(String pool, Double goodput) {
    if (goodput != null) {
      baselines.putIfAbsent(pool, goodput);
    }
  }

  boolean isHalted(String pool) {
    return haltedPools.contains(pool);
  }

  Set<String> haltedPools() {
    return Set.copyOf(haltedPools);
  }
}

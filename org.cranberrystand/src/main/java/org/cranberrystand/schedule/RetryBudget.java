package org.cranberrystand.schedule;

import java.util.EnumMap;
import java.util.Map;
import org.cranberrystand.bundle.Tier;

/**
 * Limits retries after refusals to a fraction of the dispatches of the same tier.
 *
 * <p>Without a limit, retries would amplify the load on upstreams that refuse requests because of
 * overload. Not thread-safe.
 */
final class RetryBudget {
  private static final double RETRIES_PER_DISPATCH = 0.1;
  private static final double MAX_BALANCE_RETRIES = 20;

  private final Map<Tier, Double> balanceByTier = new EnumMap<>(Tier.class);

  RetryBudget() {
    for (Tier tier : Tier.values()) {
      balanceByTier.put(tier, MAX_BALANCE_RETRIES);
    }
  }

  void recordDispatch(Tier tier) {
    balanceByTier.merge(tier, RETRIES_PER_DISPATCH, (a, b) -> Math.min(MAX_BALANCE_RETRIES, a + b));
  }

  /** Deducts one retry from the budget of a tier; returns false if none is left. */
  boolean tryAcquire(Tier tier) {
    double balance = balanceByTier.get(tier);
    if (balance < 1) {
      return false;
    }
    balanceByTier.put(tier, balance - 1);
    return true;
  }
}

package org.cranberrystand.schedule;

import java.util.EnumMap;
import java.util.Map;
import org.cranberrystand.bundle.Tier;

/**
 * Limits retries after refusals to a fraction of the dispatches of the same tier.
 *
 * <p>Without a limit, retries multiply the load of upstreams that refuse because they are
 * overloaded. Not thread-safe.
 */
final class RetryBudget {
  private static final double EARNED_PER_DISPATCH = 0.1;
  private static final double MAX_BALANCE = 20;

  private final Map<Tier, Double> balances = new EnumMap<>(Tier.class);

  RetryBudget() {
    for (Tier tier : Tier.values()) {
      balances.put(tier, MAX_BALANCE);
    }
  }

  void dispatched(Tier tier) {
    balances.merge(tier, EARNED_PER_DISPATCH, (a, b) -> Math.min(MAX_BALANCE, a + b));
  }

  /** Takes one retry from the budget of a tier if there is one. */
  boolean take(Tier tier) {
    double balance = balances.get(tier);
    if (balance < 1) {
      return false;
    }
    balances.put(tier, balance - 1);
    return true;
  }
}

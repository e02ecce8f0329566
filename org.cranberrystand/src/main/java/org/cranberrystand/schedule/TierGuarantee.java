package org.cranberrystand.schedule;

import java.util.EnumMap;
import java.util.Map;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.Tier;

/**
 * Enforces the guaranteed share of each tier in the tokens dispatched in one pool.
 *
 * <p>Each dispatch credits every tier with its share of the cost and debits the cost from the tier
 * that was served. A tier with credit or little debt is served before more urgent tiers. Credit and
 * debt are bounded, so that a tier cannot claim its share for times when it was idle. Debt is
 * cleared while no more urgent work waits. Not thread-safe.
 */
final class TierGuarantee {
  private static final double MAX_CREDIT_TOKENS = 60_000;

  /** Arrivals are irregular, so the bound must cover several requests even if they are large. */
  private static final double MAX_CREDIT_REQUESTS = 8;

  /** Debt, in requests of mean cost, up to which a tier is served within its guarantee. */
  private static final double MAX_DEBT_REQUESTS = 2;

  /** The same limit for a request of a team that is below its share. */
  private static final double MAX_DEBT_UNDERSERVED_REQUESTS = 6;

  /** A tier without arrivals within this time reserves no slots. */
  private static final long DEMAND_LIFETIME_NANOS = 2_000_000_000L;

  private static final double COST_SMOOTHING_FACTOR = 0.1;

  private static final class Account {
    private double share;
    private double creditTokens;
    private double meanCostTokens = 1;
    private long lastArrivalNanos;
    private boolean hasArrivals;
  }

  private final Map<Tier, Account> accounts = new EnumMap<>(Tier.class);

  TierGuarantee() {
    for (Tier tier : Tier.values()) {
      accounts.put(tier, new Account());
    }
  }

  void setShares(Bundle bundle) {
    accounts.forEach((tier, account) -> account.share = bundle.guaranteedShare(tier));
  }

  double share(Tier tier) {
    return accounts.get(tier).share;
  }

  void recordArrival(Tier tier, double costTokens, long nowNanos) {
    Account account = accounts.get(tier);
    account.meanCostTokens +=
        (account.hasArrivals ? COST_SMOOTHING_FACTOR : 1) * (costTokens - account.meanCostTokens);
    account.hasArrivals = true;
    account.lastArrivalNanos = nowNanos;
  }

  void charge(Tier tier, double costTokens) {
    accounts.forEach(
        (other, account) -> {
          double changeTokens = account.share * costTokens - (other == tier ? costTokens : 0);
          double boundTokens =
              Math.max(MAX_CREDIT_TOKENS, MAX_CREDIT_REQUESTS * account.meanCostTokens);
          account.creditTokens =
              Math.max(-boundTokens, Math.min(boundTokens, account.creditTokens + changeTokens));
        });
  }

  /** Clears the debt of all tiers; called while no more urgent request waits because of it. */
  void clearDebt() {
    accounts.values().forEach(account -> account.creditTokens = Math.max(0, account.creditTokens));
  }

  /** Returns whether the next request of a tier is covered by its guaranteed share. */
  boolean isWithinGuarantee(Tier tier, boolean teamUnderserved) {
    Account account = accounts.get(tier);
    double maxDebtRequests = teamUnderserved ? MAX_DEBT_UNDERSERVED_REQUESTS : MAX_DEBT_REQUESTS;
    return account.share > 0 && account.creditTokens > -maxDebtRequests * account.meanCostTokens;
  }

  double meanCostTokens(Tier tier) {
    return accounts.get(tier).meanCostTokens;
  }

  /** Returns how many slots to keep free for future requests of a tier. */
  int reservedSlots(Tier tier, long nowNanos) {
    Account account = accounts.get(tier);
    boolean hasDemand =
        account.hasArrivals && nowNanos - account.lastArrivalNanos < DEMAND_LIFETIME_NANOS;
    if (!hasDemand || account.share <= 0 || account.creditTokens <= 0) {
      return 0;
    }
    return (int) Math.ceil(account.creditTokens / Math.max(1, account.meanCostTokens));
  }
}

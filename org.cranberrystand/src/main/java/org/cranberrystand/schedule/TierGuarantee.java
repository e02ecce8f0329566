package org.cranberrystand.schedule;

import java.util.EnumMap;
import java.util.Map;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.Tier;

/**
 * Accounts for the guaranteed share of each tier of the tokens dispatched in one pool.
 *
 * <p>Each dispatch earns every tier its share of the cost and takes the cost from the tier that was
 * served. A tier with credit or little debt is served before more urgent ones. Credit and debt are
 * bounded, so a tier that was idle cannot claim its share for the past, and there is no debt while
 * no more urgent work waits. Not thread-safe.
 */
final class TierGuarantee {
  private static final double BOUND_TOKENS = 60_000;

  /** Arrivals are irregular, so the bound must span several of the largest requests. */
  private static final double BOUND_REQUESTS = 8;

  /** Debt in requests at which a tier is still served, and a team that is behind its share. */
  private static final double TOLERATED_DEBT = 2;

  private static final double TOLERATED_DEBT_BEHIND = 6;

  /** An idle tier must not keep slots free; one request within this time counts as demand. */
  private static final long DEMAND_LIFETIME_NANOS = 2_000_000_000L;

  private static final double COST_WEIGHT = 0.1;

  private static final class Account {
    private double share;
    private double credit;
    private double meanCost = 1;
    private long lastArrivalNanos;
    private boolean arrived;
  }

  private final Map<Tier, Account> accounts = new EnumMap<>(Tier.class);

  TierGuarantee() {
    for (Tier tier : Tier.values()) {
      accounts.put(tier, new Account());
    }
  }

  void shares(Bundle bundle) {
    accounts.forEach((tier, account) -> account.share = bundle.guaranteedShare(tier));
  }

  double share(Tier tier) {
    return accounts.get(tier).share;
  }

  void arrived(Tier tier, double cost, long nowNanos) {
    Account account = accounts.get(tier);
    account.meanCost += (account.arrived ? COST_WEIGHT : 1) * (cost - account.meanCost);
    account.arrived = true;
    account.lastArrivalNanos = nowNanos;
  }

  void dispatched(Tier tier, double cost) {
    accounts.forEach(
        (other, account) -> {
          double change = account.share * cost - (other == tier ? cost : 0);
          double bound = Math.max(BOUND_TOKENS, BOUND_REQUESTS * account.meanCost);
          account.credit = Math.max(-bound, Math.min(bound, account.credit + change));
        });
  }

  /** Forgives the debt of all tiers, since nobody waits because of it. */
  void forgive() {
    accounts.values().forEach(account -> account.credit = Math.max(0, account.credit));
  }

  /** Tells whether a tier may still be served as part of its share. */
  boolean isEntitled(Tier tier, boolean teamBehind) {
    Account account = accounts.get(tier);
    double debt = teamBehind ? TOLERATED_DEBT_BEHIND : TOLERATED_DEBT;
    return account.share > 0 && account.credit > -debt * account.meanCost;
  }

  double meanCost(Tier tier) {
    return accounts.get(tier).meanCost;
  }

  /** Returns how many slots to keep free for arriving requests of a tier. */
  int heldSlots(Tier tier, long nowNanos) {
    Account account = accounts.get(tier);
    boolean demand = account.arrived && nowNanos - account.lastArrivalNanos < DEMAND_LIFETIME_NANOS;
    if (!demand || account.share <= 0 || account.credit <= 0) {
      return 0;
    }
    return (int) Math.ceil(account.credit / Math.max(1, account.meanCost));
  }
}

package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.routing.TokenQuota;

/**
 * What each team has used of its quota over all nodes.
 *
 * <p>Each node keeps the whole bucket of a team and subtracts what the others report. While nodes
 * cannot be heard, each takes only its part of the rate. Not thread-safe.
 */
public final class QuotaLedger {
  private static final class Bucket {
    private double level;
    private double usedUnits;
    private long refilledNanos;
  }

  private final Map<String, Bucket> buckets = new HashMap<>();
  private final Map<String, ImmutableMap<String, Double>> reports = new HashMap<>();
  private final Map<String, ImmutableMap<String, Double>> balances = new HashMap<>();
  private final QuotaTolerance tolerance;
  private double visibleFraction = 1;

  /**
   * Creates a ledger without teams.
   *
   * @param tolerance how far quotas may be exceeded
   */
  public QuotaLedger(QuotaTolerance tolerance) {
    this.tolerance = tolerance;
  }

  /**
   * Sets which part of the nodes can be heard.
   *
   * @param value from above 0 to 1, this node included
   */
  public void setVisibleFraction(double value) {
    visibleFraction = value;
  }

  /**
   * Takes the cost of a request from the quota of its team.
   *
   * @param team the team
   * @param tokens the tokens of the request; 0 if not declared
   * @param nowNanos the time
   * @return true if the request is within the quota
   */
  public boolean take(TeamPolicy team, long tokens, long nowNanos) {
    TokenQuota quota = team.quota();
    if (!quota.isLimited()) {
      return true;
    }
    Bucket bucket = refill(team.name(), quota, nowNanos);
    double cost = quota.cost(tokens);
    if (bucket.level - cost < -tolerance.overdraftUnits(quota)) {
      return false;
    }
    bucket.level -= cost;
    bucket.usedUnits += cost;
    return true;
  }

  /**
   * Returns what a team may still use.
   *
   * @param team the name of the team
   * @return units; below zero if it has overdrawn
   */
  public double balanceUnits(String team) {
    Bucket bucket = buckets.get(team);
    return bucket == null ? 0 : bucket.level;
  }

  /**
   * Gives back what a request took that was not run.
   *
   * @param team the team
   * @param tokens the tokens of the request; 0 if not declared
   */
  public void giveBack(TeamPolicy team, long tokens) {
    Bucket bucket = buckets.get(team.name());
    if (bucket != null && team.quota().isLimited()) {
      double cost = team.quota().cost(tokens);
      bucket.level += cost;
      bucket.usedUnits -= cost;
    }
  }

  private Bucket refill(String team, TokenQuota quota, long nowNanos) {
    Bucket bucket = buckets.get(team);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.level = startLevel(team, quota);
      bucket.refilledNanos = nowNanos;
      buckets.put(team, bucket);
    }
    double seconds = (nowNanos - bucket.refilledNanos) / 1e9;
    bucket.refilledNanos = nowNanos;
    double earned = quota.unitsPerSecond() * visibleFraction * seconds;
    bucket.level = Math.min(quota.burstUnits(), bucket.level + earned);
    return bucket;
  }

  /**
   * Returns the balance with which a node begins: that of the others, since a node that starts
   * again would else grant the burst once more. Where no other node knows the team, all may be
   * starting.
   */
  private double startLevel(String team, TokenQuota quota) {
    return balances.values().stream()
        .filter(known -> known.containsKey(team))
        .mapToDouble(known -> known.get(team))
        .min()
        .orElse(quota.burstUnits() * visibleFraction / (1 + balances.size()));
  }

  /**
   * Takes the usage that another node reports.
   *
   * @param node the node and its incarnation
   * @param usedUnits units used since its start, by team
   * @param balanceUnits what teams may still use as far as it knows, by team
   */
  public void reported(
      String node,
      ImmutableMap<String, Double> usedUnits,
      ImmutableMap<String, Double> balanceUnits) {
    balances.put(node, balanceUnits);
    ImmutableMap<String, Double> before = reports.put(node, usedUnits);
    if (before == null) {
      // The first report says nothing of when the units were used.
      return;
    }
    usedUnits.forEach(
        (team, used) -> {
          double change = used - before.getOrDefault(team, 0.0);
          Bucket bucket = buckets.get(team);
          if (bucket != null) {
            bucket.level -= change;
          }
        });
  }

  /**
   * Forgets a node.
   *
   * @param node the node and its incarnation
   */
  public void forget(String node) {
    reports.remove(node);
    balances.remove(node);
  }

  /**
   * Returns what teams may still use, to be reported to the others.
   *
   * @return units by team; below zero if a team has overdrawn
   */
  public ImmutableMap<String, Double> balances() {
    ImmutableMap.Builder<String, Double> levels = ImmutableMap.builder();
    buckets.forEach((team, bucket) -> levels.put(team, bucket.level));
    return levels.build();
  }

  /**
   * Returns what this node used, to be reported to the others.
   *
   * @return units used since the start, by team
   */
  public ImmutableMap<String, Double> usedUnits() {
    ImmutableMap.Builder<String, Double> used = ImmutableMap.builder();
    buckets.forEach((team, bucket) -> used.put(team, bucket.usedUnits));
    return used.build();
  }
}

package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.EnumMap;
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
  /** Which nodes a sum of used units covers. */
  public enum Coverage {
    /** This node. */
    OWN,

    /** This node and those that report to it directly. */
    NEAR,

    /** Nodes whose use is reported in sums. */
    FAR
  }

  /** What a source said a team may still use, and when it said so. */
  private record Told(ImmutableMap<String, Double> balances, long nanos) {}

  private static final class Bucket {
    private TokenQuota quota;
    private double level;
    private final EnumMap<Coverage, Double> usedUnits = new EnumMap<>(Coverage.class);
    private long refilledNanos;

    private void refill(double visibleFraction, long nowNanos) {
      double seconds = (nowNanos - refilledNanos) / 1e9;
      refilledNanos = nowNanos;
      double earned = quota.unitsPerSecond() * visibleFraction * seconds;
      level = Math.min(quota.burstUnits(), level + earned);
    }

    private void use(double units, Coverage coverage) {
      level -= units;
      usedUnits.merge(coverage, units, Double::sum);
      if (coverage == Coverage.OWN) {
        usedUnits.merge(Coverage.NEAR, units, Double::sum);
      }
    }
  }

  /** Older balances say nothing of the quota now; those of lost nodes are kept for some time. */
  private static final long TOLD_NANOS = 2_000_000_000L;

  private final Map<String, Bucket> buckets = new HashMap<>();
  private final Map<String, ImmutableMap<String, Double>> reports = new HashMap<>();
  private final Map<String, Told> told = new HashMap<>();
  private final QuotaTolerance tolerance;
  private final boolean startsWithFleet;
  private double visibleFraction = 1;

  /**
   * Creates a ledger without teams.
   *
   * @param tolerance how far quotas may be exceeded
   * @param startsWithFleet whether no node can have used a quota before this one started
   */
  public QuotaLedger(QuotaTolerance tolerance, boolean startsWithFleet) {
    this.tolerance = tolerance;
    this.startsWithFleet = startsWithFleet;
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
    bucket.use(cost, Coverage.OWN);
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
      bucket.use(-team.quota().cost(tokens), Coverage.OWN);
    }
  }

  private Bucket refill(String team, TokenQuota quota, long nowNanos) {
    Bucket bucket = buckets.get(team);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.level = startLevel(team, quota, nowNanos);
      bucket.refilledNanos = nowNanos;
      buckets.put(team, bucket);
    }
    bucket.quota = quota;
    bucket.refill(visibleFraction, nowNanos);
    return bucket;
  }

  /**
   * Returns the balance with which a node begins: that of the others, since a node that starts
   * again would else grant the burst once more. Where no other node knows the team, either nothing
   * was used, or all nodes have started again and forgotten it.
   */
  private double startLevel(String team, TokenQuota quota, long nowNanos) {
    return told.values().stream()
        .filter(known -> nowNanos - known.nanos() < TOLD_NANOS)
        .map(Told::balances)
        .filter(known -> known.containsKey(team))
        .mapToDouble(known -> known.get(team))
        .min()
        .orElseGet(
            () ->
                startsWithFleet
                    ? quota.burstUnits()
                    : quota.burstUnits() * visibleFraction / (1 + told.size()));
  }

  /**
   * Takes the usage that another node reports.
   *
   * @param source the node, its incarnation and which nodes it speaks of
   * @param coverage near if it speaks of itself, far if of several nodes
   * @param usedUnits units used since its start, by team
   * @param balanceUnits what teams may still use as far as it knows, by team
   * @param nowNanos the time
   */
  public void reported(
      String source,
      Coverage coverage,
      ImmutableMap<String, Double> usedUnits,
      ImmutableMap<String, Double> balanceUnits,
      long nowNanos) {
    told.put(source, new Told(balanceUnits, nowNanos));
    ImmutableMap<String, Double> before = reports.put(source, usedUnits);
    if (before == null) {
      // The first report says nothing of when the units were used.
      return;
    }
    usedUnits.forEach(
        (team, used) -> {
          double change = used - before.getOrDefault(team, 0.0);
          Bucket bucket = buckets.get(team);
          if (bucket != null) {
            bucket.refill(visibleFraction, nowNanos);
            bucket.use(change, coverage);
          }
        });
  }

  /**
   * Forgets a node, also as one that reported for others.
   *
   * @param life the node and its incarnation, with which its sources begin
   */
  public void forget(String life) {
    reports.keySet().removeIf(source -> source.startsWith(life));
    told.keySet().removeIf(source -> source.startsWith(life));
  }

  /**
   * Returns what teams may still use, to be reported to the others.
   *
   * @param nowNanos the time
   * @return units by team; below zero if a team has overdrawn
   */
  public ImmutableMap<String, Double> balances(long nowNanos) {
    ImmutableMap.Builder<String, Double> levels = ImmutableMap.builder();
    buckets.forEach(
        (team, bucket) -> {
          // Without what it has earned, a balance that is seldom used falls with the use of others.
          bucket.refill(visibleFraction, nowNanos);
          levels.put(team, bucket.level);
        });
    return levels.build();
  }

  /**
   * Returns what was used since the start of this node, to be reported to the others.
   *
   * @param coverage by which nodes
   * @return units by team
   */
  public ImmutableMap<String, Double> usedUnits(Coverage coverage) {
    ImmutableMap.Builder<String, Double> used = ImmutableMap.builder();
    buckets.forEach((team, bucket) -> used.put(team, bucket.usedUnits.getOrDefault(coverage, 0.0)));
    return used.build();
  }
}

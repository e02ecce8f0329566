package org.cranberrystand.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.routing.TokenQuota;

/**
 * Enforces the quota of each team over all nodes, with token buckets.
 *
 * <p>Each node keeps a bucket of the full size for every team and subtracts the usage that other
 * nodes report. While some nodes are unreachable, each bucket refills only at this node's visible
 * fraction of the rate, so that the sides of a partition together stay within the quota.
 *
 * <p>Answers teams that send more than their quota, by far or for long. While upstreams have spare
 * capacity, a team may use a part of the tolerance as a surplus: its balance may then fall below
 * zero, and rises faster while it is there. Otherwise the quota is all that it gets, so that it
 * takes nothing from other teams. Not thread-safe.
 */
public final class QuotaLedger {
  /** The set of nodes whose usage a sum covers. */
  public enum Coverage {
    /** This node alone. */
    THIS_NODE,

    /** This node and the other nodes of its cell, which report to it directly. */
    OWN_CELL,

    /** Nodes of other cells, whose usage is reported as a sum per cell or over several cells. */
    OTHER_CELLS
  }

  /** The balances of teams that a source reported, in units, and the time of the report. */
  private record ReportedBalances(ImmutableMap<String, Double> balances, long receivedNanos) {}

  /** The token bucket of one team. */
  private final class Bucket {
    private TokenQuota quota;
    private double balanceUnits;
    private final EnumMap<Coverage, Double> usedUnits = new EnumMap<>(Coverage.class);

    /** Usage reported by other nodes, weighted by its age. They probably used as much since. */
    private double recentPeerUnits;

    /** Usage reported by other nodes within about {@link #FLOOD_SECONDS}. */
    private double floodUnits;

    /** The most that other nodes recently used within the delay of a report. */
    private double peakPeerUnits;

    private double admissionCredit = 0.5;
    private long refilledNanos;

    private void refill(long nowNanos) {
      double seconds = (nowNanos - refilledNanos) / 1e9;
      refilledNanos = nowNanos;
      recentPeerUnits *= Math.exp(-seconds / reports.delaySeconds());
      floodUnits *= Math.exp(-seconds / FLOOD_SECONDS);
      peakPeerUnits *= Math.exp(-seconds / PEAK_MEMORY_SECONDS);
      double ratePerSecond = quota.unitsPerSecond() * visibleFraction;
      double surplusPerSecond = tolerance.surplusUnitsPerSecond(quota, reports) * visibleFraction;
      double debtSeconds =
          balanceUnits < 0
              ? Math.min(seconds, -balanceUnits / (ratePerSecond + surplusPerSecond))
              : 0;
      double earnedUnits = ratePerSecond * seconds + surplusPerSecond * debtSeconds;
      balanceUnits = Math.min(quota.burstUnits(), balanceUnits + earnedUnits);
    }

    private void consume(double units, Coverage coverage) {
      balanceUnits -= units;
      usedUnits.merge(coverage, units, Double::sum);
      if (coverage == Coverage.THIS_NODE) {
        usedUnits.merge(Coverage.OWN_CELL, units, Double::sum);
      } else {
        recentPeerUnits += units;
        floodUnits += units;
        peakPeerUnits =
            Math.max(peakPeerUnits, floodUnits * reports.delaySeconds() / FLOOD_SECONDS);
      }
    }

    private boolean admits(double cost, boolean spareCapacity) {
      double overdraftUnits = spareCapacity ? tolerance.overdraftUnits(quota, reports) : 0;
      if (balanceUnits < cost && !hasSurplus(overdraftUnits)) {
        return false;
      }
      double headroomUnits = balanceUnits + overdraftUnits;
      return headroomUnits >= peakPeerUnits || takeCredit(headroomUnits / peakPeerUnits);
    }

    /**
     * Returns true for the given fraction of the calls. When a flooding team has earned something
     * again, not all nodes may admit all of its requests until they learn of each other's.
     */
    private boolean takeCredit(double fraction) {
      admissionCredit += fraction;
      if (admissionCredit < 1) {
        return false;
      }
      admissionCredit -= 1;
      return true;
    }

    /**
     * Returns whether the surplus allows a request. Its own cost does not count, since large
     * requests would otherwise hardly ever get through between small ones.
     */
    private boolean hasSurplus(double overdraftUnits) {
      return overdraftUnits > 0 && balanceUnits - recentPeerUnits > -overdraftUnits;
    }
  }

  /** Averages over single large requests. */
  private static final double FLOOD_SECONDS = 0.5;

  /** Longer than the window in which quotas are checked. */
  private static final double PEAK_MEMORY_SECONDS = 10;

  /** Older balances are outdated; those of lost nodes stay in the map for some time. */
  private static final long BALANCE_LIFETIME_NANOS = 2_000_000_000L;

  private final Map<String, Bucket> buckets = new HashMap<>();
  private final Map<String, ImmutableMap<String, Double>> usedUnitsBySource = new HashMap<>();
  private final Map<String, ReportedBalances> balancesBySource = new HashMap<>();
  private final QuotaTolerance tolerance;
  private final boolean startsWithFleet;
  private QuotaReports reports = QuotaReports.DIRECT;
  private ObjDoubleConsumer<String> usageListener = (team, tokens) -> {};
  private double visibleFraction = 1;

  /**
   * Creates a ledger without teams.
   *
   * @param tolerance how far quotas may be exceeded
   * @param startsWithFleet whether this node starts together with the whole fleet, so that no quota
   *     can have been used before
   */
  public QuotaLedger(QuotaTolerance tolerance, boolean startsWithFleet) {
    this.tolerance = tolerance;
    this.startsWithFleet = startsWithFleet;
  }

  /**
   * Sets the fraction of the fleet's nodes that this node receives reports from.
   *
   * @param value above 0 and at most 1; counts this node too
   */
  public void setVisibleFraction(double value) {
    visibleFraction = value;
  }

  /**
   * Sets the listener that is told what teams with a quota used at other nodes.
   *
   * @param value receives the team and its tokens; requests of a team whose quota counts requests
   *     are told as 1 token each
   */
  public void setUsageListener(ObjDoubleConsumer<String> value) {
    usageListener = value;
  }

  /**
   * Sets how this node learns of the usage of other nodes.
   *
   * @param value the way of the reports
   */
  public void setReports(QuotaReports value) {
    reports = value;
  }

  /**
   * Subtracts the cost of a request from the quota of its team if the quota allows the request.
   *
   * @param team the team
   * @param tokens the tokens of the request; 0 if not declared
   * @param spareCapacity whether the request would take a slot that no other request waits for
   * @param nowNanos the current time
   * @return false if the request would exceed the quota; the balance is unchanged then
   */
  public boolean tryConsume(TeamPolicy team, long tokens, boolean spareCapacity, long nowNanos) {
    TokenQuota quota = team.quota();
    if (!quota.isLimited()) {
      return true;
    }
    Bucket bucket = refill(team.name(), quota, nowNanos);
    double cost = quota.cost(tokens);
    if (!bucket.admits(cost, spareCapacity)) {
      return false;
    }
    bucket.consume(cost, Coverage.THIS_NODE);
    return true;
  }

  /**
   * Returns the balance of a team.
   *
   * @param team the name of the team
   * @return the balance in units; negative if the team has overdrawn its quota, 0 if the team is
   *     unknown
   */
  public double balanceUnits(String team) {
    Bucket bucket = buckets.get(team);
    return bucket == null ? 0 : bucket.balanceUnits;
  }

  /**
   * Refunds the cost of a request that was not run.
   *
   * @param team the team
   * @param tokens the tokens of the request; 0 if not declared
   */
  public void refund(TeamPolicy team, long tokens) {
    Bucket bucket = buckets.get(team.name());
    if (bucket != null && team.quota().isLimited()) {
      bucket.consume(-team.quota().cost(tokens), Coverage.THIS_NODE);
    }
  }

  private Bucket refill(String team, TokenQuota quota, long nowNanos) {
    Bucket bucket = buckets.get(team);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.balanceUnits = initialBalanceUnits(team, quota, nowNanos);
      bucket.refilledNanos = nowNanos;
      buckets.put(team, bucket);
    }
    bucket.quota = quota;
    bucket.refill(nowNanos);
    return bucket;
  }

  /**
   * Returns the initial balance of a team: the lowest balance that other nodes report, because a
   * restarted node would otherwise grant the burst again. If no other node reports the team, then
   * either the team has used nothing, or all nodes have restarted and lost their usage. The second
   * case is excluded only if the node starts with the fleet; otherwise each node grants its share
   * of the burst.
   */
  private double initialBalanceUnits(String team, TokenQuota quota, long nowNanos) {
    return balancesBySource.values().stream()
        .filter(reported -> nowNanos - reported.receivedNanos() < BALANCE_LIFETIME_NANOS)
        .map(ReportedBalances::balances)
        .filter(reported -> reported.containsKey(team))
        .mapToDouble(reported -> reported.get(team))
        .min()
        .orElseGet(
            () ->
                startsWithFleet
                    ? quota.burstUnits()
                    : quota.burstUnits() * visibleFraction / (1 + balancesBySource.size()));
  }

  /**
   * Processes the usage and balances that another node reports.
   *
   * @param source the reporting node, its incarnation and the nodes that the report covers
   * @param coverage {@link Coverage#OWN_CELL} if the node reports its own usage, {@link
   *     Coverage#OTHER_CELLS} if it reports a sum over several nodes
   * @param usedUnits units used since the start of the source, by team
   * @param balanceUnits the balances at the reporting node in units, by team
   * @param nowNanos the current time
   */
  public void reported(
      String source,
      Coverage coverage,
      ImmutableMap<String, Double> usedUnits,
      ImmutableMap<String, Double> balanceUnits,
      long nowNanos) {
    balancesBySource.put(source, new ReportedBalances(balanceUnits, nowNanos));
    ImmutableMap<String, Double> previous = usedUnitsBySource.put(source, usedUnits);
    if (previous == null) {
      // The first report does not tell when the units were used.
      return;
    }
    usedUnits.forEach(
        (team, used) -> {
          double increase = used - previous.getOrDefault(team, 0.0);
          Bucket bucket = buckets.get(team);
          if (bucket != null) {
            bucket.refill(nowNanos);
            bucket.consume(increase, coverage);
            usageListener.accept(team, increase);
          }
        });
  }

  /**
   * Removes all reports that a node sent, for itself and as sums over other nodes.
   *
   * @param sourcePrefix the node and its incarnation, the common prefix of its sources
   */
  public void forget(String sourcePrefix) {
    usedUnitsBySource.keySet().removeIf(source -> source.startsWith(sourcePrefix));
    balancesBySource.keySet().removeIf(source -> source.startsWith(sourcePrefix));
  }

  /**
   * Returns the balances of all teams for the report to other nodes.
   *
   * @param nowNanos the current time
   * @return the balances in units, by team; negative if a team has overdrawn its quota
   */
  public ImmutableMap<String, Double> balances(long nowNanos) {
    ImmutableMap.Builder<String, Double> balances = ImmutableMap.builder();
    buckets.forEach(
        (team, bucket) -> {
          // Without a refill, reported usage of other nodes would only ever lower the balance of a
          // team that sends this node few requests.
          bucket.refill(nowNanos);
          balances.put(team, bucket.balanceUnits);
        });
    return balances.build();
  }

  /**
   * Returns the units used since the start of this node, for the report to other nodes.
   *
   * @param coverage the nodes whose usage is included
   * @return the used units, by team
   */
  public ImmutableMap<String, Double> usedUnits(Coverage coverage) {
    ImmutableMap.Builder<String, Double> used = ImmutableMap.builder();
    buckets.forEach((team, bucket) -> used.put(team, bucket.usedUnits.getOrDefault(coverage, 0.0)));
    return used.build();
  }
}

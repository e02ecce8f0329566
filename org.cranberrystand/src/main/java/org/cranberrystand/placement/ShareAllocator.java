package org.cranberrystand.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Computes the share of an engine that this node may use, from the demand of all nodes that use it.
 *
 * <p>Each node computes its share from a delayed view of the demand of the others. Two rules keep
 * the sum of the shares bounded. First, each node changes the weight of any node by at most a fixed
 * factor per second, so two views that are 1 s apart differ by at most that factor. Second, the
 * weight of a node that disappeared decays by the same factor instead of being redistributed at
 * once, and a starting node begins with half of its share. Not thread-safe.
 */
public final class ShareAllocator {
  /** Natural logarithm of the largest factor, about 1.1, by which a weight changes per second. */
  private static final double MAX_LOG_CHANGE_PER_SECOND = 0.1;

  /** Reserves a share for nodes without demand, so that their first requests need not wait. */
  private static final double MIN_DEMAND_FRACTION = 0.25;

  /** Prevents one overloaded node from taking the shares of the others. */
  private static final double MAX_DEMAND_FRACTION = 2;

  /** The other nodes do not see a starting node yet, so it begins with half of its share. */
  private static final double INITIAL_RAMP_FACTOR = 0.5;

  private static final double RAMP_UP_SECONDS = 3;
  private static final double REMOVAL_FRACTION = 0.01;
  private static final double NANOS_PER_SECOND = 1e9;

  private static final class Weight {
    private double demand;
    private double value;
    private boolean live;
  }

  private final String self;
  private final Map<String, Weight> weights = new HashMap<>();
  private boolean started;
  private boolean singleNode = true;
  private double meanDemand;
  private long lastObservationNanos;
  private long lastAdvanceNanos;
  private double rampFactor = 1;

  /**
   * Creates an allocator for a node without known peers.
   *
   * @param self the name of the node
   */
  public ShareAllocator(String self) {
    this.self = self;
  }

  /**
   * Updates the demand of all nodes.
   *
   * @param demandByNode the demand of all live nodes including this one, in any common unit
   * @param nowNanos the current monotonic time, in nanoseconds
   */
  public void observe(Map<String, Double> demandByNode, long nowNanos) {
    advance(nowNanos);
    weights.values().forEach(w -> w.live = false);
    double seconds =
        started ? Math.max(0, (nowNanos - lastObservationNanos) / NANOS_PER_SECOND) : 0;
    lastObservationNanos = nowNanos;
    double currentMean = demandByNode.values().stream().mapToDouble(d -> d).average().orElse(0);
    double maxFactor = Math.exp(MAX_LOG_CHANGE_PER_SECOND * seconds);
    // The minimum and maximum demand derive from the mean and affect all shares, so the mean must
    // not jump either.
    meanDemand =
        singleNode || meanDemand <= 1
            ? currentMean
            : Math.max(meanDemand / maxFactor, Math.min(meanDemand * maxFactor, currentMean));
    singleNode = demandByNode.size() == 1;
    double minDemand = Math.max(1, meanDemand * MIN_DEMAND_FRACTION);
    for (Map.Entry<String, Double> entry : demandByNode.entrySet()) {
      double demand =
          Math.max(0, Math.min(meanDemand * MAX_DEMAND_FRACTION, entry.getValue())) + minDemand;
      Weight weight = weights.computeIfAbsent(entry.getKey(), name -> new Weight());
      if (weight.value <= 0 || singleNode) {
        weight.value = demand;
      }
      // Raising a weight to the minimum needs no limit, because all nodes do so at once.
      weight.value = Math.max(weight.value, minDemand);
      weight.demand = demand;
      weight.live = true;
    }
    if (!started) {
      started = true;
      rampFactor = demandByNode.size() > 1 ? INITIAL_RAMP_FACTOR : 1;
    }
  }

  /**
   * Moves the weights towards the last observed demand, within the bounded rate of change.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   */
  public void advance(long nowNanos) {
    double seconds = started ? Math.max(0, (nowNanos - lastAdvanceNanos) / NANOS_PER_SECOND) : 0;
    lastAdvanceNanos = nowNanos;
    double maxFactor = Math.exp(MAX_LOG_CHANGE_PER_SECOND * seconds);
    rampFactor = Math.min(1, rampFactor + seconds * (1 - INITIAL_RAMP_FACTOR) / RAMP_UP_SECONDS);
    for (Weight weight : weights.values()) {
      double target = weight.live ? weight.demand : 0;
      weight.value = Math.max(weight.value / maxFactor, Math.min(weight.value * maxFactor, target));
    }
    double total = weights.values().stream().mapToDouble(w -> w.value).sum();
    weights.values().removeIf(w -> !w.live && w.value < total * REMOVAL_FRACTION);
  }

  /**
   * Returns the share of this node of an engine that a subset of the nodes uses.
   *
   * @param users the names of the nodes that use the engine, including this one
   * @return a fraction above 0, at most 1
   */
  public double share(Collection<String> users) {
    Weight own = weights.get(self);
    if (own == null) {
      return 1;
    }
    double total = 0;
    for (String user : users) {
      Weight weight = weights.get(user);
      total += weight == null ? 0 : weight.value;
    }
    return total <= 0 ? 1 : rampFactor * Math.min(1, own.value / Math.max(total, own.value));
  }

  /**
   * Returns the share of this node of an engine that all nodes use.
   *
   * @return a fraction above 0, at most 1
   */
  public double share() {
    return share(weights.keySet());
  }
}

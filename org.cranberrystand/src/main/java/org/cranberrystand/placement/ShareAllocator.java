package org.cranberrystand.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Derives the share of this node of an engine from the demand of all nodes that use the engine.
 *
 * <p>Nodes see each other's demand late. Two rules bound the sum of the shares. The weight of a
 * node in the view of any node changes by a bounded factor per second, so two views that are 1 s
 * apart differ by at most that factor. The weight of a node that disappeared decays by the same
 * factor instead of being divided at once, and a node that starts begins with half of its weight.
 * Not thread-safe.
 */
public final class ShareAllocator {
  /** Bound on the change of a weight per second, as the natural logarithm of the factor 1.1. */
  private static final double MAX_LOG_SLOPE = 0.1;

  /** Keeps a share for nodes without demand so that their first requests need not wait. */
  private static final double FLOOR_FRACTION = 0.25;

  /** Keeps one flooded node from taking the shares of the others. */
  private static final double CAP_FRACTION = 2;

  /** A node that just started is not seen by the others yet, so it begins with half its weight. */
  private static final double START_FRACTION = 0.5;

  private static final double START_SECONDS = 3;
  private static final double FORGET_FRACTION = 0.01;
  private static final double NANOS_PER_SECOND = 1e9;

  private static final class Weight {
    private double demand;
    private double value;
    private boolean present;
  }

  private final String self;
  private final Map<String, Weight> weights = new HashMap<>();
  private boolean started;
  private boolean alone = true;
  private double mean;
  private long observedNanos;
  private long updatedNanos;
  private double startFactor = 1;

  /**
   * Creates an allocator of a node that knows of no other node.
   *
   * @param self the name of the node
   */
  public ShareAllocator(String self) {
    this.self = self;
  }

  /**
   * Takes a new view of the demand into account.
   *
   * @param demandByNode the demand of all live nodes including this one, in any common unit
   * @param nowNanos the time
   */
  public void observe(Map<String, Double> demandByNode, long nowNanos) {
    advance(nowNanos);
    weights.values().forEach(w -> w.present = false);
    double seconds = started ? Math.max(0, (nowNanos - observedNanos) / NANOS_PER_SECOND) : 0;
    observedNanos = nowNanos;
    double seenMean = demandByNode.values().stream().mapToDouble(d -> d).average().orElse(0);
    double step = Math.exp(MAX_LOG_SLOPE * seconds);
    // The floor and the cap must not jump either, since all shares depend on them.
    mean = alone || mean <= 1 ? seenMean : Math.max(mean / step, Math.min(mean * step, seenMean));
    alone = demandByNode.size() == 1;
    double floor = Math.max(1, mean * FLOOR_FRACTION);
    for (Map.Entry<String, Double> entry : demandByNode.entrySet()) {
      double demand = Math.max(0, Math.min(mean * CAP_FRACTION, entry.getValue())) + floor;
      Weight weight = weights.computeIfAbsent(entry.getKey(), name -> new Weight());
      if (weight.value <= 0 || alone) {
        weight.value = demand;
      }
      // Every node raises a weight to the floor at once, so all views agree on that.
      weight.value = Math.max(weight.value, floor);
      weight.demand = demand;
      weight.present = true;
    }
    if (!started) {
      started = true;
      startFactor = demandByNode.size() > 1 ? START_FRACTION : 1;
    }
  }

  /**
   * Moves the weights towards the last demand seen.
   *
   * @param nowNanos the time
   */
  public void advance(long nowNanos) {
    double seconds = started ? Math.max(0, (nowNanos - updatedNanos) / NANOS_PER_SECOND) : 0;
    updatedNanos = nowNanos;
    double factor = Math.exp(MAX_LOG_SLOPE * seconds);
    startFactor = Math.min(1, startFactor + seconds * (1 - START_FRACTION) / START_SECONDS);
    for (Weight weight : weights.values()) {
      double target = weight.present ? weight.demand : 0;
      weight.value = Math.max(weight.value / factor, Math.min(weight.value * factor, target));
    }
    double total = weights.values().stream().mapToDouble(w -> w.value).sum();
    weights.values().removeIf(w -> !w.present && w.value < total * FORGET_FRACTION);
  }

  /**
   * Returns the share of this node among some nodes.
   *
   * @param users the nodes that use the engine, including this one
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
    return total <= 0 ? 1 : startFactor * Math.min(1, own.value / Math.max(total, own.value));
  }

  /**
   * Returns the share of this node of an engine that every node uses.
   *
   * @return a fraction above 0, at most 1
   */
  public double share() {
    return share(weights.keySet());
  }
}

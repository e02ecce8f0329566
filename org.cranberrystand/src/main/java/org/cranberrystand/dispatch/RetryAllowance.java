package org.cranberrystand.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how often requests are sent to a second upstream, per pool.
 *
 * <p>The limit holds for all nodes together; each node takes an equal part of the fixed slack and
 * earns the rest with the requests that it receives. Answers the load of failing upstreams, where
 * repeats would multiply the load of those that are left. Not thread-safe.
 */
public final class RetryAllowance {
  /** Part of the limit that is used, so that errors in the number of nodes do not exceed it. */
  private static final double SAFETY = 0.7;

  private final double ratio;
  private final double slack;
  private final Map<String, Double> balances = new HashMap<>();
  private int nodes = 1;

  /**
   * Creates an allowance.
   *
   * @param ratio repeats per request that are allowed over all nodes
   * @param slack repeats that are allowed in addition within one window, over all nodes
   */
  public RetryAllowance(double ratio, double slack) {
    this.ratio = ratio * SAFETY;
    this.slack = slack * SAFETY;
  }

  /**
   * Sets how many nodes share the slack.
   *
   * @param value the number of nodes, this one included
   */
  public void setNodes(int value) {
    nodes = Math.max(1, value);
  }

  /**
   * Notes a request of a caller.
   *
   * @param pool its pool
   */
  public void received(String pool) {
    balances.put(pool, Math.min(cap(), balance(pool) + ratio));
  }

  /**
   * Takes a repeat.
   *
   * @param pool the pool
   * @return true if a repeat may be sent
   */
  public boolean take(String pool) {
    double balance = balance(pool);
    if (balance < 1) {
      return false;
    }
    balances.put(pool, balance - 1);
    return true;
  }

  private double balance(String pool) {
    return Math.min(cap(), balances.getOrDefault(pool, cap()));
  }

  private double cap() {
    return Math.max(1, slack / nodes);
  }
}

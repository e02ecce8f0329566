package org.cranberrystand.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Retry budget per pool: limits how often requests are retried at another upstream.
 *
 * <p>Without a limit, retries after upstream failures would multiply the load on the remaining
 * upstreams. The limit holds for all nodes together: each node has an equal share of the fixed
 * slack, and every request that it receives adds to its budget. Not thread-safe.
 */
public final class RetryAllowance {
  /** Keeps the fleet within the limit when nodes count too few other nodes. */
  private static final double SAFETY_FACTOR = 0.7;

  private final double retryRatio;
  private final double slackRetries;
  private final Map<String, Double> balances = new HashMap<>();
  private int nodeCount = 1;

  /**
   * Creates a full budget.
   *
   * @param retryRatio allowed retries per received request, over all nodes
   * @param slackRetries retries allowed in addition within one window, over all nodes
   */
  public RetryAllowance(double retryRatio, double slackRetries) {
    this.retryRatio = retryRatio * SAFETY_FACTOR;
    this.slackRetries = slackRetries * SAFETY_FACTOR;
  }

  /**
   * Sets the number of nodes that share the slack.
   *
   * @param value the number of nodes, this one included
   */
  public void setNodeCount(int value) {
    nodeCount = Math.max(1, value);
  }

  /**
   * Records a request from a caller, which adds to the budget.
   *
   * @param pool the pool of the request
   */
  public void requestReceived(String pool) {
    balances.put(pool, Math.min(maxBalance(), balance(pool) + retryRatio));
  }

  /**
   * Takes one retry from the budget of a pool if there is one left.
   *
   * @param pool the name of the pool
   * @return true if the retry may be sent
   */
  public boolean tryAcquire(String pool) {
    double balance = balance(pool);
    if (balance < 1) {
      return false;
    }
    balances.put(pool, balance - 1);
    return true;
  }

  private double balance(String pool) {
    return Math.min(maxBalance(), balances.getOrDefault(pool, maxBalance()));
  }

  private double maxBalance() {
    return Math.max(1, slackRetries / nodeCount);
  }
}

package org.cranberrystand.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits how often requests are retried, to a fraction of the requests and some slack.
 *
 * <p>Without a limit, retries after failures and refusals would multiply the load on upstreams that
 * are short of capacity. Groups of requests, such as those of a pool or a tier, have separate
 * allowances. If the limit holds for several nodes together, each has an equal share of the slack.
 * Not thread-safe.
 *
 * @param <K> identifies a group of requests
 */
public final class RetryAllowance<K> {
  /** Keeps the fleet within the limit when nodes count too few other nodes. */
  private static final double FLEET_SAFETY_FACTOR = 0.7;

  private final double retriesPerRequest;
  private final double slackRetries;
  private final Map<K, Double> balances = new HashMap<>();
  private int nodeCount = 1;

  /**
   * Creates full allowances of one node.
   *
   * @param retriesPerRequest allowed retries per request
   * @param slackRetries retries allowed in addition
   */
  public RetryAllowance(double retriesPerRequest, double slackRetries) {
    this.retriesPerRequest = retriesPerRequest;
    this.slackRetries = slackRetries;
  }

  /**
   * Creates full allowances that hold for all nodes of a fleet together.
   *
   * @param <K> identifies a group of requests
   * @param retriesPerRequest allowed retries per received request, over all nodes
   * @param slackRetries retries allowed in addition within one window, over all nodes
   * @return the allowances of one of the nodes
   */
  public static <K> RetryAllowance<K> ofFleet(double retriesPerRequest, double slackRetries) {
    return new RetryAllowance<>(
        retriesPerRequest * FLEET_SAFETY_FACTOR, slackRetries * FLEET_SAFETY_FACTOR);
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
   * Records a request, which adds to the allowance.
   *
   * @param group the group of the request
   */
  public void requestReceived(K group) {
    balances.put(group, Math.min(maxBalance(), balance(group) + retriesPerRequest));
  }

  /**
   * Takes one retry from the allowance of a group if there is one left.
   *
   * @param group the group
   * @return true if the retry may be sent
   */
  public boolean tryAcquire(K group) {
    double balance = balance(group);
    if (balance < 1) {
      return false;
    }
    balances.put(group, balance - 1);
    return true;
  }

  private double balance(K group) {
    return Math.min(maxBalance(), balances.getOrDefault(group, maxBalance()));
  }

  private double maxBalance() {
    return Math.max(1, slackRetries / nodeCount);
  }
}

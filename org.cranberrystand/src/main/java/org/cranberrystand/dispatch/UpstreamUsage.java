package org.cranberrystand.dispatch;

/**
 * Usage of one upstream by the requests of one or more nodes.
 *
 * @param running requests that were sent and have not ended
 * @param prefillTokens prompt tokens of the running requests that have no first event yet
 */
public record UpstreamUsage(int running, long prefillTokens) {
  /** No usage. */
  public static final UpstreamUsage NONE = new UpstreamUsage(0, 0);

  /**
   * Returns the sum of this usage and another one.
   *
   * @param other the other usage
   * @return the sum
   */
  public UpstreamUsage plus(UpstreamUsage other) {
    return new UpstreamUsage(running + other.running, prefillTokens + other.prefillTokens);
  }
}

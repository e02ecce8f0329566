package org.cranberrystand.dispatch;

/**
 * What the requests of one or more nodes use of an upstream.
 *
 * @param running requests sent and not ended
 * @param prefillTokens prompt tokens of those without a first event
 */
public record UpstreamUsage(int running, long prefillTokens) {
  /** No request. */
  public static final UpstreamUsage NONE = new UpstreamUsage(0, 0);

  /**
   * Adds two usages.
   *
   * @param other the other usage
   * @return the sum
   */
  public UpstreamUsage plus(UpstreamUsage other) {
    return new UpstreamUsage(running + other.running, prefillTokens + other.prefillTokens);
  }
}

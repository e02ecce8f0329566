package org.cranberrystand.dispatch;

/**
 * How many requests an upstream accepts from all nodes together.
 *
 * @param perSecond the rate in requests per second, at least 0
 * @param windowSeconds the length of the windows in which requests are counted, in seconds
 * @param over by which factor the requests of a window may exceed the rate
 * @param slack how many requests a window may contain in addition
 */
public record RateBound(double perSecond, double windowSeconds, double over, double slack) {
  /** Requests at an upstream that states a limit in its responses are counted in such windows. */
  private static final double STATED_WINDOW_SECONDS = 4;

  private static final double STATED_OVER = 1.5;
  private static final double STATED_SLACK = 5;

  /** Requests at a cold upstream are counted in any second. */
  private static final double COLD_WINDOW_SECONDS = 1;

  /**
   * Creates the bound of an upstream that states a limit in its responses.
   *
   * @param perSecond the stated rate in requests per second
   * @return the bound
   */
  public static RateBound ofStatedLimit(double perSecond) {
    return new RateBound(perSecond, STATED_WINDOW_SECONDS, STATED_OVER, STATED_SLACK);
  }

  /**
   * Creates the bound of a cold upstream.
   *
   * @param perSecond the rate that it tolerates, in requests per second
   * @param over by which factor the requests of a second may exceed the rate
   * @param slack how many requests a second may contain in addition
   * @return the bound
   */
  public static RateBound ofColdUpstream(double perSecond, double over, double slack) {
    return new RateBound(perSecond, COLD_WINDOW_SECONDS, over, slack);
  }

  /**
   * Returns the largest number of requests that a window may contain.
   *
   * @return at least 0
   */
  public long maxPerWindow() {
    return (long) (perSecond * windowSeconds * over + slack);
  }
}

package org.cranberrystand.dispatch;

/**
 * Decides after which silence of an upstream a request may be sent to another one.
 *
 * <p>Answers upstreams that hang or become slow while others of the pool have room. Waiting too
 * short repeats work that is only slow; waiting too long loses the caller. All values are in
 * milliseconds. Stateless.
 */
public final class SilencePolicy {
  private static final double FIRST_RESPONSE_TARGETS = 1.5;

  /** Prefill of other requests that were placed at the same time delays the first response. */
  private static final double FIRST_RESPONSE_ESTIMATES = 2.5;

  private static final double EVENT_GAP_TARGETS = 3;
  private static final double EVENT_INTERVALS = 8;
  private static final double MIN_EVENT_SILENCE_MILLIS = 900;

  /** The other upstream needs the rest of the caller's patience. */
  private static final double PATIENCE_FRACTION = 0.5;

  private SilencePolicy() {}

  /**
   * Returns the allowed silence before the first byte of a response.
   *
   * @param targetMillis the latency target of the route
   * @param patienceMillis how long the caller waits
   * @param choice the estimates at the placement
   * @return the silence in milliseconds
   */
  public static long firstResponseLimitMillis(
      long targetMillis, long patienceMillis, PlacementChoice choice) {
    double limit =
        Math.max(
            FIRST_RESPONSE_TARGETS * targetMillis,
            FIRST_RESPONSE_ESTIMATES * choice.expectedFirstResponseMillis());
    return (long) Math.min(limit, PATIENCE_FRACTION * patienceMillis);
  }

  /**
   * Returns the allowed silence between two events of a stream.
   *
   * @param gapTargetMillis the target for the longest gap between two events; 0 for none
   * @param patienceMillis how long the caller waits for the next event
   * @param choice the estimates at the placement
   * @return the silence in milliseconds
   */
  public static long eventLimitMillis(
      long gapTargetMillis, long patienceMillis, PlacementChoice choice) {
    double limit =
        Math.max(
            MIN_EVENT_SILENCE_MILLIS,
            Math.max(
                EVENT_GAP_TARGETS * gapTargetMillis,
                EVENT_INTERVALS * choice.expectedIntervalMillis()));
    return (long) Math.min(limit, PATIENCE_FRACTION * patienceMillis);
  }
}

package org.cranberrystand.dispatch;

import java.util.Collection;

/** The cost of placing a request at an upstream, by which upstreams are compared. */
final class PlacementCost {
  /** Cost of a second of streaming relative to a second of waiting for the first event. */
  private static final double STREAM_TIME_WEIGHT = 0.03;

  /** Gaps vary around their mean, so a mean above this fraction of the target is often late. */
  private static final double GAP_TARGET_FRACTION = 0.7;

  /** Assumed slowdown of a cold upstream; its registration gives only the duration. */
  private static final double COLD_COST_FACTOR = 2;

  private PlacementCost() {}

  /**
   * Returns the expected delay of the response in nanoseconds, increased by the load of the
   * upstream, which slows all its tokens, by the length of the stream, and if the stream would miss
   * its gap target or its deadline. Cached prefill counts twice, because the other requests at the
   * upstream gain the time too.
   */
  static double nanos(UpstreamState state, CallSpec call, int cachedTokens, long nowNanos) {
    double load = (double) state.totalRunning() / Math.max(1, state.upstream().slots());
    double coldFactor = state.isCold(nowNanos) ? COLD_COST_FACTOR : 1;
    double firstResponseNanos =
        state.expectedFirstResponseNanos(call, cachedTokens, nowNanos) * (1 + load) * coldFactor;
    if (!call.isStreaming()) {
      return firstResponseNanos;
    }
    double streamNanos = call.expectedEvents() * state.eventIntervalNanos();
    double overrunNanos =
        Math.max(0, nowNanos + firstResponseNanos + streamNanos - call.deadlineNanos());
    boolean exceedsGapTarget =
        call.gapTargetNanos() > 0
            && state.eventIntervalNanos() > GAP_TARGET_FRACTION * call.gapTargetNanos();
    double gapPenaltyNanos = exceedsGapTarget ? call.targetNanos() - call.arrivalNanos() : 0;
    double savedPrefillNanos = cachedTokens * state.prefillNanosPerToken();
    return Math.max(
        0,
        firstResponseNanos
            + STREAM_TIME_WEIGHT * streamNanos
            + overrunNanos
            + gapPenaltyNanos
            - savedPrefillNanos);
  }

  /** Returns the time to the first response at the fastest upstream if it is idle. */
  static double leastFirstResponseNanos(Collection<UpstreamState> upstreams, CallSpec call) {
    double least = Double.MAX_VALUE;
    for (UpstreamState state : upstreams) {
      least =
          Math.min(
              least,
              call.isStreaming()
                  ? UpstreamState.FIRST_EVENT_BASE_NANOS
                      + call.promptTokens() * state.prefillNanosPerToken()
                  : state.serviceNanos());
    }
    return least;
  }
}

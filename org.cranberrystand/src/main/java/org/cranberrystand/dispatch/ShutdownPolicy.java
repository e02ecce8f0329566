package org.cranberrystand.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a node still sends to upstreams while it is stopped as planned.
 *
 * <p>Callers that cached the node's address come for some seconds more. A request is sent if its
 * time limit ends before the node does. One with a longer limit is sent for a while if it may be
 * repeated elsewhere, or if requests of its route have lately taken less than what is left; another
 * node can serve all others at once. All times are nanoseconds of the node's monotonic clock. Not
 * thread-safe.
 */
public final class ShutdownPolicy {
  /**
   * Requests after this time that do not end with the node are lost for their callers, who have had
   * the time to fetch other addresses.
   */
  private static final long UNLIMITED_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** The longest times are kept for one to two of these periods. */
  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(30);

  private Map<String, Long> longestNanosByRoute = new HashMap<>();
  private Map<String, Long> earlierNanosByRoute = new HashMap<>();
  private long periodNanos;

  /**
   * Creates a policy that knows of no request.
   *
   * @param nowNanos the current time
   */
  public ShutdownPolicy(long nowNanos) {
    periodNanos = nowNanos;
  }

  /**
   * A planned stop in progress.
   *
   * @param elapsedNanos the time since its start
   * @param remainingNanos the time until all requests must have an answer
   */
  public record Progress(long elapsedNanos, long remainingNanos) {}

  /**
   * Records that a request was answered.
   *
   * @param route the name of its route
   * @param elapsedNanos how long that took
   * @param nowNanos the current time
   */
  public void answered(String route, long elapsedNanos, long nowNanos) {
    if (nowNanos - periodNanos >= PERIOD_NANOS) {
      earlierNanosByRoute = longestNanosByRoute;
      longestNanosByRoute = new HashMap<>();
      periodNanos = nowNanos;
    }
    longestNanosByRoute.merge(route, elapsedNanos, Math::max);
  }

  /**
   * Returns whether a request may still be sent.
   *
   * @param progress the stop in progress
   * @param route the name of the route
   * @param limitNanos the time until the request gets an answer in any case
   * @param repeatable whether another node may run the request too
   * @return false if the request must be refused, so that its caller goes to another node
   */
  public boolean maySend(Progress progress, String route, long limitNanos, boolean repeatable) {
    if (limitNanos <= progress.remainingNanos()) {
      return true;
    }
    return progress.elapsedNanos() <= UNLIMITED_NANOS
        && (repeatable || longestNanos(route) <= progress.remainingNanos());
  }

  private long longestNanos(String route) {
    long longest =
        Math.max(
            longestNanosByRoute.getOrDefault(route, -1L),
            earlierNanosByRoute.getOrDefault(route, -1L));
    return longest < 0 ? Long.MAX_VALUE : longest;
  }
}

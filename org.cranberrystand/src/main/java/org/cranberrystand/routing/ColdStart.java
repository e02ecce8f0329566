package org.cranberrystand.routing;

/**
 * How the upstreams of a pool behave after they start during traffic.
 *
 * @param durationMillis how long an upstream is cold after its start, in milliseconds; 0 if the
 *     pool has no cold upstreams
 * @param perSecond the requests per second that a cold upstream tolerates from all nodes together
 */
public record ColdStart(long durationMillis, double perSecond) {
  /** The upstreams of the pool are never cold. */
  public static final ColdStart NONE = new ColdStart(0, 0);

  /**
   * Returns whether upstreams of the pool may be cold.
   *
   * @return false if the pool declares nothing of it
   */
  public boolean isDeclared() {
    return durationMillis > 0;
  }
}

package org.cranberrystand.routing;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the largest request line and headers together
 * @param maxBodyBytes the largest request body
 * @param headerTimeoutMillis the longest time from the first byte to the end of the headers
 * @param idleTimeoutMillis the longest time without a request on an open connection
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

  /**
   * Returns the limits in force before a declaration is known.
   *
   * @return the defaults
   */
  public static CallerLimits defaults() {
    return new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
  }
}

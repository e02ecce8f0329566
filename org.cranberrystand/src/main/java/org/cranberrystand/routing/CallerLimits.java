package org.cranberrystand.routing;

/**
 * Limits on the size and duration of callers' requests.
 *
 * @param maxHeaderBytes the maximum size of the request line and the headers together
 * @param maxBodyBytes the maximum size of a request body
 * @param headerTimeoutMillis the maximum time from the first byte to the end of the headers
 * @param idleTimeoutMillis the maximum time without a request on an open connection
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

  /**
   * Returns the limits that apply until the first routing declaration is received.
   *
   * @return the defaults
   */
  public static CallerLimits defaults() {
    return new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
  }
}

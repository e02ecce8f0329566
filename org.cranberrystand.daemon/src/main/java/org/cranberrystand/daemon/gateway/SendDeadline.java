package org.cranberrystand.daemon.gateway;

/**
 * The time after which a request is not sent any more, since its caller has given up.
 *
 * @param nanos the time, in nanoseconds of the monotonic clock
 * @param passed called on the event loop, after the send has returned, if the request was not sent
 */
record SendDeadline(long nanos, Runnable passed) {
  boolean isPassed() {
    return System.nanoTime() - nanos >= 0;
  }
}

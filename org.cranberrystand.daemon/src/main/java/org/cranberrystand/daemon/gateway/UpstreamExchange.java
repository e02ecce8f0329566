package org.cranberrystand.daemon.gateway;

/** A request in progress at an upstream. Used only on the event loop. */
interface UpstreamExchange {

  /**
   * Cancels the request and closes its connection, so that the upstream stops. No callback follows.
   */
  void cancel();

  /** Sets whether the response is read; false applies backpressure to the upstream. */
  void setReading(boolean reading);

  /** Returns whether the request was written to a connection, so that the upstream may run it. */
  boolean isSent();

  /** Returns the name of the connection in the log; {@code none} before one is open. */
  String connectionName();

  /** Returns when the connection was opened, in nanoseconds; the current time before one is. */
  long connectedNanos();
}

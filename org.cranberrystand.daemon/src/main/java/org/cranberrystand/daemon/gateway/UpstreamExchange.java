package org.cranberrystand.daemon.gateway;

/** A request at an upstream. Used on the event loop only. */
interface UpstreamExchange {

  /** Ends the request; its connection is closed, which stops the upstream. No callback follows. */
  void cancel();

  /** Sets whether the answer is read. */
  void setReading(boolean reading);
}

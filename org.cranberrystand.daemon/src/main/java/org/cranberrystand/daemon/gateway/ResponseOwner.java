package org.cranberrystand.daemon.gateway;

/** To which request on a connection a response belongs, by the identifier that it repeats. */
enum ResponseOwner {
  /** The request in progress. */
  PENDING,

  /** A request that the connection carried before, whose response is complete already. */
  EARLIER,

  /** It can't be told, so that the response to the request in progress may be lost. */
  UNKNOWN
}

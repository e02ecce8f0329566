package org.cranberrystand.fake;

/** Fault that a fake injects into one call. */
public enum CallFault {
  /** No fault: the call is served. */
  NONE,
  /** Refuses the request without running it, as a draining upstream does. */
  REFUSE_LEAVING,
  /** Refuses the request without running it, as an overloaded upstream does. */
  REFUSE_FULL,
  /** Reads the request and closes the connection without running it. */
  DIE_BEFORE_RUN,
  /** Runs the request and closes the connection without an answer. */
  DIE_AFTER_RUN,
  /** Runs the request and closes the connection after the response head. */
  DIE_AFTER_HEAD,
  /** Runs the request and closes the connection in the middle of the body. */
  DIE_IN_BODY
}

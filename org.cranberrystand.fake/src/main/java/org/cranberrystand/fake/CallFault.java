package org.cranberrystand.fake;

/** What a fake does to one call instead of serving it. */
public enum CallFault {
  /** Serves the call. */
  NONE,
  /** Refuses before running, as an upstream that leaves. */
  REFUSE_LEAVING,
  /** Refuses before running, as an upstream that is full. */
  REFUSE_FULL,
  /** Closes the connection after the request was read, without running it. */
  DIE_BEFORE_RUN,
  /** Runs the request and closes the connection without an answer. */
  DIE_AFTER_RUN,
  /** Runs the request and closes the connection after the response head. */
  DIE_AFTER_HEAD,
  /** Runs the request and closes the connection within the body. */
  DIE_IN_BODY
}

package org.cranberrystand.daemon.internal;

import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.UpstreamRecord;

/** Decision of the scheduler about a submitted request. */
public sealed interface Decision {

  /**
   * Dispatch the request to an upstream.
   *
   * @param key the key of the request in the scheduler
   * @param upstream the selected upstream
   */
  record Dispatch(long key, UpstreamRecord upstream) implements Decision {}

  /**
   * Reject the request without running it.
   *
   * @param reason the reason for the rejection
   * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
   */
  record Reject(NotRunReason reason, long retryAfterMillis) implements Decision {}

  /**
   * Hand the request over to another node.
   *
   * @param node the name of the other node
   */
  record HandOver(String node) implements Decision {}
}

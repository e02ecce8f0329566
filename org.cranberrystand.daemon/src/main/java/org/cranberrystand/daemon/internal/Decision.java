package org.cranberrystand.daemon.internal;

import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.UpstreamRecord;

/** What the scheduler decided about one submitted request. */
public sealed interface Decision {

  /**
   * Send the request to an upstream.
   *
   * @param key the key under which the scheduler knows the request
   * @param upstream where to send it
   */
  record Send(long key, UpstreamRecord upstream) implements Decision {}

  /**
   * Answer the request as not run.
   *
   * @param reason why
   * @param retryAfterMillis when to ask again, in milliseconds from now
   */
  record Decline(NotRunReason reason, long retryAfterMillis) implements Decision {}

  /**
   * Hand the request over to another node.
   *
   * @param node the name of the node
   */
  record Delegate(String node) implements Decision {}
}

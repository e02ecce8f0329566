package org.cranberrystand.schedule;

import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.UpstreamRecord;

/** Output of the scheduler, to be carried out by the node in the given order. */
public sealed interface SchedulerAction {

  /**
   * Send a request to an upstream.
   *
   * @param item the request
   * @param upstream where to send it
   */
  record Dispatch(WorkItem item, UpstreamRecord upstream) implements SchedulerAction {}

  /**
   * Answer a request as not run.
   *
   * @param item the request
   * @param reason why
   * @param retryAfterMillis when to ask again, in milliseconds from now
   */
  record Reject(WorkItem item, NotRunReason reason, long retryAfterMillis)
      implements SchedulerAction {}

  /**
   * Hand an urgent request over to another node.
   *
   * @param item the request
   * @param node the name of the node
   */
  record HandOver(WorkItem item, String node) implements SchedulerAction {}

  /**
   * Cancel a running request at its upstream.
   *
   * @param key the key of the request
   */
  record Cancel(long key) implements SchedulerAction {}
}

package org.cranberrystand.schedule;

import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.UpstreamRecord;

/** An action that the scheduler returns; the node executes them in the given order. */
public sealed interface SchedulerAction {

  /**
   * Sends a request to an upstream.
   *
   * @param item the request
   * @param upstream the upstream to send it to
   */
  record Dispatch(WorkItem item, UpstreamRecord upstream) implements SchedulerAction {}

  /**
   * Rejects a request as not run.
   *
   * @param item the request
   * @param reason why the request was not run
   * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
   */
  record Reject(WorkItem item, NotRunReason reason, long retryAfterMillis)
      implements SchedulerAction {}

  /**
   * Hands an urgent request over to another node.
   *
   * @param item the request
   * @param node the name of the node
   */
  record HandOver(WorkItem item, String node) implements SchedulerAction {}

  /**
   * Cancels a running request at its upstream.
   *
   * @param key the key of the request
   */
  record Cancel(long key) implements SchedulerAction {}
}

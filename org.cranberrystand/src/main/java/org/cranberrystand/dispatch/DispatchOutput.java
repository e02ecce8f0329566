package org.cranberrystand.dispatch;

import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.RegisteredUpstream;

/** Receives the decisions of a {@link CallDispatcher}, on the thread that calls the dispatcher. */
public interface DispatchOutput {

  /**
   * Sends a request to an upstream.
   *
   * @param call the request
   * @param upstream the chosen upstream
   * @param choice the figures behind the placement
   */
  void send(CallSpec call, RegisteredUpstream upstream, PlacementChoice choice);

  /**
   * Refuses a request that was not sent to any upstream.
   *
   * @param call the request
   * @param reason the reason for the refusal
   * @param retryAfterMillis the delay after which the caller should retry, in milliseconds
   */
  void refuse(CallSpec call, NotRunReason reason, long retryAfterMillis);
}

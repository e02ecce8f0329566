package org.cranberrystand.dispatch;

import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.RegisteredUpstream;

/** Carries out what the dispatcher decides. Called during the calls of the dispatcher. */
public interface DispatchOutput {

  /**
   * Sends a request.
   *
   * @param call the request
   * @param upstream where to
   * @param choice the figures that decided it
   */
  void send(CallSpec call, RegisteredUpstream upstream, PlacementChoice choice);

  /**
   * Refuses a request that was not sent.
   *
   * @param call the request
   * @param reason why
   * @param retryAfterMillis when to come back, in milliseconds
   */
  void refuse(CallSpec call, NotRunReason reason, long retryAfterMillis);
}

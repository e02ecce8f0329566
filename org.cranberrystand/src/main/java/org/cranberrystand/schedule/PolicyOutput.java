package org.cranberrystand.schedule;

import org.cranberrystand.outcome.NotRunReason;

/** Receives the decisions of a {@link PoolDispatcher}. */
interface PolicyOutput {

  /** A request goes to an upstream. */
  void dispatch(RunningRequest request, EnginePool.Choice choice, String detail);

  /** A request is answered as not run. */
  void reject(QueuedItem queued, NotRunReason reason, long retryAfterMillis, String detail);

  /** Gives an urgent request to a peer if one has room; returns whether it did. */
  boolean handOver(QueuedItem queued);
}

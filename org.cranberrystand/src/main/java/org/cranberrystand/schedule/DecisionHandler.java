package org.cranberrystand.schedule;

import org.cranberrystand.outcome.NotRunReason;

/** Handles the decisions of a {@link PoolDispatcher}. */
interface DecisionHandler {

  /** Dispatches a request to an upstream. */
  void dispatch(RunningRequest request, EnginePool.Placement placement, String detail);

  /** Rejects a request as not run. */
  void reject(QueuedItem queued, NotRunReason reason, long retryAfterMillis, String detail);

  /** Hands an urgent request over if a peer has capacity; returns whether it was handed over. */
  boolean handOver(QueuedItem queued);
}

package org.cranberrystand.bench.policy;

import org.cranberrystand.bundle.Tier;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.schedule.WorkItem;

/** Request of a run with its progress and outcome. A time is -1 until its event happens. */
final class SimRequest {
  final WorkItem item;
  final KindSpec spec;
  final int outputTokens;
  final long serviceNanos;

  /** Whether a simulated peer sent the request, which the policy under test does not see. */
  final boolean fromPeer;

  long dispatchNanos = -1;
  long firstTokenNanos = -1;
  long lastTokenNanos = -1;
  long finishNanos = -1;
  long rejectNanos = -1;
  NotRunReason rejectReason;
  String upstreamName = "";
  boolean cancelled;
  boolean handedOver;
  int cachedTokens;
  int remainingPrefillTokens;
  int producedTokens;

  SimRequest(WorkItem item, KindSpec spec, int outputTokens, long serviceNanos, boolean fromPeer) {
    this.item = item;
    this.spec = spec;
    this.outputTokens = outputTokens;
    this.serviceNanos = serviceNanos;
    this.fromPeer = fromPeer;
  }

  SimRequest copyForPeer() {
    return new SimRequest(item, spec, outputTokens, serviceNanos, true);
  }

  Tier tier() {
    return item.tier();
  }

  /**
   * Returns the cost by which shares are computed: prompt and output tokens, or 1 for a call to a
   * plain service.
   */
  long costTokens() {
    return spec.isModel() ? (long) item.promptTokens() + outputTokens : 1;
  }

  boolean isQueued() {
    return dispatchNanos < 0 && rejectNanos < 0 && !handedOver;
  }

  boolean isFinished() {
    return finishNanos >= 0 && !cancelled;
  }

  /** Returns true if the request finished and its first token met the deadline. */
  boolean isInTime() {
    return isFinished() && firstTokenNanos <= item.deadlineNanos();
  }
}

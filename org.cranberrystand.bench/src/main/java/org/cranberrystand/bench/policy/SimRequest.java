package org.cranberrystand.bench.policy;

import org.cranberrystand.bundle.Tier;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.schedule.WorkItem;

/** One request of a run and what became of it. Times are -1 until they happen. */
final class SimRequest {
  final WorkItem item;
  final KindSpec spec;
  final int outputTokens;
  final long serviceNanos;

  /** Whether the request stands for one of another node and is invisible to the policy. */
  final boolean ghost;

  long dispatchNanos = -1;
  long firstTokenNanos = -1;
  long lastTokenNanos = -1;
  long finishNanos = -1;
  long rejectNanos = -1;
  NotRunReason rejectReason;
  String upstream = "";
  boolean cancelled;
  boolean handedOver;
  int cachedTokens;
  int prefillLeft;
  int produced;

  SimRequest(WorkItem item, KindSpec spec, int outputTokens, long serviceNanos, boolean ghost) {
    this.item = item;
    this.spec = spec;
    this.outputTokens = outputTokens;
    this.serviceNanos = serviceNanos;
    this.ghost = ghost;
  }

  SimRequest copyAsGhost() {
    return new SimRequest(item, spec, outputTokens, serviceNanos, true);
  }

  Tier tier() {
    return item.tier();
  }

  /** Returns the cost in tokens, by which shares are measured. */
  long costTokens() {
    return spec.isModel() ? (long) item.promptTokens() + outputTokens : 1;
  }

  boolean isQueued() {
    return dispatchNanos < 0 && rejectNanos < 0 && !handedOver;
  }

  boolean isFinished() {
    return finishNanos >= 0 && !cancelled;
  }

  /** Tells whether the complete answer came and its first token met the deadline. */
  boolean isInTime() {
    return isFinished() && firstTokenNanos <= item.deadlineNanos();
  }
}

package org.cranberrystand.schedule;

import org.cranberrystand.bundle.Tier;
import org.cranberrystand.fairness.FairItem;

/** A request to be dispatched, with its estimated cost and queueing state. Not thread-safe. */
final class QueuedItem implements FairItem {
  private final WorkItem item;
  private final double expectedOutputTokens;
  private final boolean longPrefill;
  private final long queuedNanos;
  private boolean queued;
  private String refusedBy;

  QueuedItem(WorkItem item, double outputTokens, boolean longPrefill, long queuedNanos) {
    this.item = item;
    this.expectedOutputTokens = outputTokens;
    this.longPrefill = longPrefill;
    this.queuedNanos = queuedNanos;
  }

  WorkItem item() {
    return item;
  }

  Tier tier() {
    return item.tier();
  }

  /** Returns the expected number of output tokens. */
  double expectedOutputTokens() {
    return expectedOutputTokens;
  }

  @Override
  public String team() {
    return item.team();
  }

  /** Returns the estimated cost in tokens, at least 1. */
  @Override
  public double costTokens() {
    return Math.max(1, item.promptTokens() + expectedOutputTokens);
  }

  boolean isLongPrefill() {
    return longPrefill;
  }

  /** Returns true for a long prefill, which waits apart so that it does not block short ones. */
  @Override
  public boolean isInSecondLane() {
    return longPrefill;
  }

  @Override
  public long deadlineNanos() {
    return item.deadlineNanos();
  }

  @Override
  public long queuedNanos() {
    return queuedNanos;
  }

  boolean isQueued() {
    return queued;
  }

  @Override
  public void setQueued(boolean value) {
    queued = value;
  }

  /** Returns the name of the last upstream that refused the request, or null. */
  String refusedBy() {
    return refusedBy;
  }

  void setRefusedBy(String upstream) {
    refusedBy = upstream;
  }
}

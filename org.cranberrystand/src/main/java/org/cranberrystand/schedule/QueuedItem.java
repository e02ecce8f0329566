package org.cranberrystand.schedule;

import org.cranberrystand.bundle.Tier;

/** A request in a queue with its estimated cost. Not thread-safe. */
final class QueuedItem {
  private final WorkItem item;
  private final double outputTokens;
  private final boolean longPrefill;
  private final long queuedNanos;
  private boolean queued;
  private String refusedBy;

  QueuedItem(WorkItem item, double outputTokens, boolean longPrefill, long queuedNanos) {
    this.item = item;
    this.outputTokens = outputTokens;
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
  double outputTokens() {
    return outputTokens;
  }

  /** Returns the estimated cost in tokens, at least 1. */
  double cost() {
    return Math.max(1, item.promptTokens() + outputTokens);
  }

  boolean isLongPrefill() {
    return longPrefill;
  }

  long queuedNanos() {
    return queuedNanos;
  }

  boolean isQueued() {
    return queued;
  }

  void setQueued(boolean value) {
    queued = value;
  }

  /** Returns the upstream that refused the request last, or null. */
  String refusedBy() {
    return refusedBy;
  }

  void setRefusedBy(String upstream) {
    refusedBy = upstream;
  }
}

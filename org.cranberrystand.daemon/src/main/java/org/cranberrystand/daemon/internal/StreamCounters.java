package org.cranberrystand.daemon.internal;

import java.util.concurrent.atomic.AtomicLong;

/** Counts what happened to relayed streams. Safe for use by several threads. */
public final class StreamCounters {
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong resumed = new AtomicLong();
  private final AtomicLong broken = new AtomicLong();

  /**
   * Returns the number of events that were dropped because they were late or foreign.
   *
   * @return the number since the node started
   */
  public long dropped() {
    return dropped.get();
  }

  /**
   * Returns the number of attempts to resume a stream.
   *
   * @return the number since the node started
   */
  public long resumed() {
    return resumed.get();
  }

  /**
   * Returns the number of streams that ended incomplete.
   *
   * @return the number since the node started
   */
  public long broken() {
    return broken.get();
  }

  void addDropped(int count) {
    dropped.addAndGet(count);
  }

  void addResumed() {
    resumed.incrementAndGet();
  }

  void addBroken() {
    broken.incrementAndGet();
  }
}

package org.cranberrystand.daemon.internal;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts dropped events, resumptions and failures of relayed streams. Safe for use by several
 * threads.
 */
public final class StreamCounters {
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong resumed = new AtomicLong();
  private final AtomicLong broken = new AtomicLong();

  /**
   * Returns the number of events that were dropped because they were repeated or belonged to
   * another request.
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
   * Returns the number of streams that ended before their answer was complete.
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

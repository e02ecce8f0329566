package org.cranberrystand.membership;

import java.util.concurrent.atomic.AtomicLong;
import org.cranberrystand.util.MonotonicClock;

/**
 * Tells whether the node ran without a pause since its view of the fleet was last refreshed.
 *
 * <p>The node ticks in short intervals. A gap between two ticks above the limit, or a last tick
 * longer ago than that, means that the process was stopped and that its view may be stale. Safe for
 * use by several threads.
 */
public final class PauseDetector {
  private final MonotonicClock clock;
  private final long limitNanos;
  private final AtomicLong lastTickNanos;
  private final AtomicLong pauses = new AtomicLong();
  private final AtomicLong refreshedPauses = new AtomicLong();

  /**
   * Creates a detector that regards its view as certain.
   *
   * @param clock the clock of the node; must advance while the process is stopped
   * @param limitNanos the longest gap between two ticks that is no pause
   */
  public PauseDetector(MonotonicClock clock, long limitNanos) {
    this.clock = clock;
    this.limitNanos = limitNanos;
    this.lastTickNanos = new AtomicLong(clock.nowNanos());
  }

  /**
   * Records that the node runs.
   *
   * @return true if a pause came before this tick
   */
  public boolean tick() {
    long now = clock.nowNanos();
    boolean paused = now - lastTickNanos.getAndSet(now) > limitNanos;
    if (paused) {
      pauses.incrementAndGet();
    }
    return paused;
  }

  /**
   * Tells whether the view may be acted on.
   *
   * @return false from the end of a pause until a refresh that began after it has finished
   */
  public boolean isCertain() {
    return pauses.get() == refreshedPauses.get()
        && clock.nowNanos() - lastTickNanos.get() <= limitNanos;
  }

  /**
   * Returns what a refresh that begins now may confirm.
   *
   * @return the number of pauses so far, to be passed to {@link #confirm}
   */
  public long pauses() {
    return pauses.get();
  }

  /**
   * Records that the view was refreshed.
   *
   * @param atPauses the number of pauses when the refresh began; a pause since then keeps the view
   *     uncertain
   */
  public void confirm(long atPauses) {
    refreshedPauses.accumulateAndGet(atPauses, Math::max);
  }
}

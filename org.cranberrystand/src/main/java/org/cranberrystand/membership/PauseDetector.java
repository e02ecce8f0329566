package org.cranberrystand.membership;

import java.util.concurrent.atomic.AtomicLong;
import org.cranberrystand.util.MonotonicClock;

/**
 * Detects pauses of the process since the last refresh of its view of the fleet.
 *
 * <p>The node ticks at short intervals. A gap between two ticks, or since the last tick, that
 * exceeds the limit means that the process was stopped and that its view may be stale. Thread-safe.
 */
public final class PauseDetector {
  private final MonotonicClock clock;
  private final long maxTickGapNanos;
  private final AtomicLong lastTickNanos;
  private final AtomicLong pauseCount = new AtomicLong();
  private final AtomicLong confirmedPauseCount = new AtomicLong();

  /**
   * Creates a detector that regards the view as current.
   *
   * @param clock the clock of the node; must advance while the process is stopped
   * @param maxTickGapNanos the longest gap between two ticks that is not a pause
   */
  public PauseDetector(MonotonicClock clock, long maxTickGapNanos) {
    this.clock = clock;
    this.maxTickGapNanos = maxTickGapNanos;
    this.lastTickNanos = new AtomicLong(clock.nowNanos());
  }

  /**
   * Records that the process is running.
   *
   * @return true if a pause ended with this tick
   */
  public boolean tick() {
    long now = clock.nowNanos();
    boolean paused = now - lastTickNanos.getAndSet(now) > maxTickGapNanos;
    if (paused) {
      pauseCount.incrementAndGet();
    }
    return paused;
  }

  /**
   * Returns whether decisions may rely on the view.
   *
   * @return false after a pause until a refresh that began after the pause has finished
   */
  public boolean isViewCurrent() {
    return pauseCount.get() == confirmedPauseCount.get()
        && clock.nowNanos() - lastTickNanos.get() <= maxTickGapNanos;
  }

  /**
   * Returns the number of pauses so far. A refresh reads it at its start.
   *
   * @return the number of pauses, to be passed to {@link #confirmRefresh}
   */
  public long pauseCount() {
    return pauseCount.get();
  }

  /**
   * Records that a refresh of the view has finished.
   *
   * @param pausesAtStart the number of pauses when the refresh began; after a later pause the view
   *     stays stale
   */
  public void confirmRefresh(long pausesAtStart) {
    confirmedPauseCount.accumulateAndGet(pausesAtStart, Math::max);
  }
}

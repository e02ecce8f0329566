package org.cranberrystand.daemon.internal;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cranberrystand.membership.PauseDetector;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.util.MonotonicClock;

/**
 * Determines whether the node may accept and dispatch requests. Safe for use by several threads.
 */
public final class Readiness {
  /**
   * Longest gap between two ticks, which come every 250 ms, that does not count as a pause. With a
   * lower limit, garbage collections on a busy VM counted as pauses.
   */
  private static final long MAX_TICK_GAP_NANOS = 1_500_000_000L;

  private final PauseDetector pauses;
  private final AtomicBoolean leaving;
  private volatile boolean started;

  Readiness(MonotonicClock clock, AtomicBoolean leaving) {
    this.pauses = new PauseDetector(clock, MAX_TICK_GAP_NANOS);
    this.leaving = leaving;
  }

  PauseDetector pauses() {
    return pauses;
  }

  void setStarted() {
    started = true;
  }

  boolean isStarted() {
    return started;
  }

  /**
   * Returns the reason why the node accepts no new requests at present.
   *
   * @return the reason, or empty if it accepts them
   */
  public Optional<NotRunReason> refusalReason() {
    if (leaving.get()) {
      return Optional.of(NotRunReason.LEAVING);
    }
    return mayDispatch() ? Optional.empty() : Optional.of(NotRunReason.NOT_READY);
  }

  /**
   * Returns whether queued requests may be dispatched; a leaving node still dispatches them.
   *
   * @return false until the start is complete, and after a pause until the view was refreshed
   */
  public boolean mayDispatch() {
    return started && pauses.isViewCurrent();
  }
}

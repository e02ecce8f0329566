package org.cranberrystand.daemon.internal;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cranberrystand.membership.PauseDetector;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.util.MonotonicClock;

/** Tells whether the node may start new work. Safe for use by several threads. */
public final class Readiness {
  /**
   * Longest gap between two ticks of 250 ms that is no pause. Below this, collections of garbage on
   * a busy VM counted as pauses.
   */
  private static final long PAUSE_LIMIT_NANOS = 1_500_000_000L;

  private final PauseDetector pauses;
  private final AtomicBoolean leaving;
  private volatile boolean started;

  Readiness(MonotonicClock clock, AtomicBoolean leaving) {
    this.pauses = new PauseDetector(clock, PAUSE_LIMIT_NANOS);
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
   * Tells why the node must not dispatch requests now.
   *
   * @return empty if it may
   */
  public Optional<NotRunReason> refusal() {
    if (leaving.get()) {
      return Optional.of(NotRunReason.LEAVING);
    }
    return mayDispatch() ? Optional.empty() : Optional.of(NotRunReason.NOT_READY);
  }

  /**
   * Tells whether queued requests may be dispatched; true also on a leaving node.
   *
   * @return false before the start is complete and while the view is uncertain after a pause
   */
  public boolean mayDispatch() {
    return started && pauses.isViewCurrent();
  }
}

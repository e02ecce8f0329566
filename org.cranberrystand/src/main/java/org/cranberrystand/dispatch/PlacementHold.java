package org.cranberrystand.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Holds requests back after the node stood still, until the state of the fleet is confirmed.
 *
 * <p>A VM that resumes after a freeze may have missed an evacuation whose deadline is over. The
 * load that this answers is a freeze of seconds, during which requests waited on the node. Not
 * thread-safe.
 */
final class PlacementHold {
  /**
   * A node that neither the store nor another node answers goes on with the state that it has,
   * because nobody may be able to change it.
   */
  static final long MAX_HOLD_NANOS = TimeUnit.SECONDS.toNanos(2);

  private long maxStandstillNanos = Long.MAX_VALUE;
  private boolean ticked;
  private long lastTickNanos;
  private boolean held;
  private long heldSinceNanos;

  /** Sets the longest interval between two ticks after which nothing is held. */
  void setMaxStandstill(long nanos) {
    maxStandstillNanos = nanos;
  }

  /** Records that the node runs; to be called at short intervals. */
  void tick(long nowNanos) {
    update(nowNanos);
    ticked = true;
    lastTickNanos = nowNanos;
  }

  /** Records that the state of the fleet is up to date. */
  void confirmed() {
    held = false;
  }

  /** Returns whether no request may be sent now. */
  boolean isHeld(long nowNanos) {
    update(nowNanos);
    return held;
  }

  /** Returns for how long requests have been held; 0 if they are not. */
  long heldNanos(long nowNanos) {
    return isHeld(nowNanos) ? Math.max(1, nowNanos - heldSinceNanos) : 0;
  }

  private void update(long nowNanos) {
    if (ticked && nowNanos - lastTickNanos > maxStandstillNanos) {
      if (!held) {
        heldSinceNanos = nowNanos;
      }
      held = true;
    } else if (held && nowNanos - heldSinceNanos >= MAX_HOLD_NANOS) {
      held = false;
    }
  }
}

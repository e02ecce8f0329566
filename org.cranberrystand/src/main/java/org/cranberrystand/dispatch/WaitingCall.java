package org.cranberrystand.dispatch;

import java.util.Comparator;

/** A request that waits for a slot. Not thread-safe. */
final class WaitingCall {
  /** Requests that can still be on time go first, then by rank, then by target. */
  static final Comparator<WaitingCall> ORDER =
      Comparator.comparing(WaitingCall::isLate)
          .thenComparingInt(w -> w.call().rank())
          .thenComparingLong(w -> w.call().targetNanos())
          .thenComparingLong(w -> w.call().key());

  private final CallSpec call;
  private final String excluded;
  private final boolean late;

  /**
   * Creates an entry of the queue.
   *
   * @param call the request
   * @param excluded an upstream to avoid if there is another; null for none
   * @param late whether its answer cannot be on time any more
   */
  WaitingCall(CallSpec call, String excluded, boolean late) {
    this.call = call;
    this.excluded = excluded;
    this.late = late;
  }

  CallSpec call() {
    return call;
  }

  String excluded() {
    return excluded;
  }

  boolean isLate() {
    return late;
  }

  WaitingCall asLate() {
    return new WaitingCall(call, excluded, true);
  }
}

package org.cranberrystand.dispatch;

import java.util.Comparator;

/** A queued request that waits for a slot. Immutable. */
final class WaitingCall {
  /** Requests that can still meet their target go first, then by priority, then by target. */
  static final Comparator<WaitingCall> ORDER =
      Comparator.comparing(WaitingCall::isLate)
          .thenComparingInt(w -> w.call().priority())
          .thenComparingLong(w -> w.call().targetNanos())
          .thenComparingLong(w -> w.call().key());

  private final CallSpec call;
  private final String excludedUpstream;
  private final boolean late;

  /**
   * Creates an entry of the queue.
   *
   * @param call the request
   * @param excludedUpstream the identifier of an upstream to avoid if the pool has another one;
   *     null for none
   * @param late whether the request can no longer meet its latency target
   */
  WaitingCall(CallSpec call, String excludedUpstream, boolean late) {
    this.call = call;
    this.excludedUpstream = excludedUpstream;
    this.late = late;
  }

  CallSpec call() {
    return call;
  }

  String excludedUpstream() {
    return excludedUpstream;
  }

  boolean isLate() {
    return late;
  }

  WaitingCall asLate() {
    return new WaitingCall(call, excludedUpstream, true);
  }
}

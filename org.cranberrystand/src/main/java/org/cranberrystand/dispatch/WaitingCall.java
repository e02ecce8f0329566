package org.cranberrystand.dispatch;

import java.util.Comparator;
import org.cranberrystand.fairness.FairItem;

/** A queued request that waits for a slot. Immutable. */
final class WaitingCall implements FairItem {
  /**
   * Requests that may have run and those that continue a stream go first, then those that can still
   * meet their target, then by priority, then by target.
   */
  static final Comparator<WaitingCall> ORDER =
      Comparator.comparing((WaitingCall w) -> !w.goesFirst())
          .thenComparing(WaitingCall::isLate)
          .thenComparingInt(w -> w.call().priority())
          .thenComparingLong(w -> w.call().targetNanos())
          .thenComparingLong(w -> w.call().key());

  private final CallSpec call;
  private final String excludedUpstream;
  private final boolean mayHaveRun;
  private final long latestWaitNanos;
  private final boolean late;

  /**
   * Creates an entry of the queue.
   *
   * @param call the request
   * @param excludedUpstream the identifier of an upstream to avoid if the pool has another one;
   *     null for none
   * @param mayHaveRun whether an upstream may have run the request already
   * @param latestWaitNanos the time until which the request waits before it is refused
   * @param late whether the request can no longer meet its latency target
   */
  WaitingCall(
      CallSpec call,
      String excludedUpstream,
      boolean mayHaveRun,
      long latestWaitNanos,
      boolean late) {
    this.call = call;
    this.excludedUpstream = excludedUpstream;
    this.mayHaveRun = mayHaveRun;
    this.latestWaitNanos = latestWaitNanos;
    this.late = late;
  }

  CallSpec call() {
    return call;
  }

  String excludedUpstream() {
    return excludedUpstream;
  }

  /**
   * Returns whether the request goes before those that begin: it may have run, or its caller has
   * the first part of its stream.
   */
  boolean goesFirst() {
    return mayHaveRun || call.isContinued();
  }

  long latestWaitNanos() {
    return latestWaitNanos;
  }

  boolean isLate() {
    return late;
  }

  WaitingCall asLate() {
    return new WaitingCall(call, excludedUpstream, mayHaveRun, latestWaitNanos, true);
  }

  /** Returns whether the request waits in the fair queue of its priority. */
  boolean sharesFairly() {
    return call.hasTeam() && !goesFirst();
  }

  @Override
  public String team() {
    return call.team();
  }

  @Override
  public double costTokens() {
    return call.costTokens();
  }

  /** Returns true for late requests, which wait behind those of their team that can be on time. */
  @Override
  public boolean isInSecondLane() {
    return late;
  }

  @Override
  public long queuedNanos() {
    return call.arrivalNanos();
  }

  @Override
  public long deadlineNanos() {
    return latestWaitNanos;
  }

  @Override
  public void setQueued(boolean value) {
    // The queue of calls finds its entries by key.
  }
}

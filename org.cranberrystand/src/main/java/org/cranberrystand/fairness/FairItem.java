package org.cranberrystand.fairness;

/** A request that can wait in a {@link FairQueue}. */
public interface FairItem {
  /**
   * Returns the name of the team that pays for the request.
   *
   * @return the name; empty if the request has no team
   */
  String team();

  /**
   * Returns the estimated cost.
   *
   * @return the cost in tokens, above 0
   */
  double costTokens();

  /**
   * Returns whether the request waits in the second lane of its team.
   *
   * @return false if it waits in the first lane
   */
  boolean isInSecondLane();

  /**
   * Returns when the request was queued.
   *
   * @return nanoseconds of the node's monotonic clock
   */
  long queuedNanos();

  /**
   * Returns until when the request may wait.
   *
   * @return nanoseconds of the node's monotonic clock
   */
  long deadlineNanos();

  /**
   * Records that the request was added to a queue or removed from it.
   *
   * @param value true if it waits now
   */
  void setQueued(boolean value);
}

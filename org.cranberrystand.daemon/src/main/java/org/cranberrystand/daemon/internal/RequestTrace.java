package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;

/**
 * Trace of the steps of one request through the scheduler.
 *
 * <p>Immutable.
 *
 * @param key the key of the request in the scheduler
 * @param kind the kind of work
 * @param tier the tier of the kind
 * @param team the team of the shop
 * @param steps the steps in chronological order
 */
public record RequestTrace(
    long key, String kind, String tier, String team, ImmutableList<Step> steps) {

  /**
   * One step.
   *
   * @param millisAfterArrival the time since the arrival of the request
   * @param action the kind of step, such as "dispatched"
   * @param detail the upstream, the node or the reason; may be empty
   */
  public record Step(long millisAfterArrival, String action, String detail) {}

  RequestTrace withStep(Step step) {
    ImmutableList<Step> extended = ImmutableList.<Step>builder().addAll(steps).add(step).build();
    return new RequestTrace(key, kind, tier, team, extended);
  }
}

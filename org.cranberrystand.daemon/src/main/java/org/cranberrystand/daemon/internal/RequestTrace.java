package org.cranberrystand.daemon.internal;

import com.google.common.collect.ImmutableList;

/**
 * What the scheduler did with one request.
 *
 * <p>Immutable.
 *
 * @param key the key of the request in the scheduler
 * @param kind the kind of work
 * @param tier the tier of the kind
 * @param team the team of the shop
 * @param steps the steps in their order
 */
public record RequestTrace(
    long key, String kind, String tier, String team, ImmutableList<Step> steps) {

  /**
   * One step.
   *
   * @param millisAfterArrival when it happened
   * @param action what happened
   * @param detail the upstream or the reason; may be empty
   */
  public record Step(long millisAfterArrival, String action, String detail) {}

  RequestTrace with(Step step) {
    ImmutableList<Step> longer = ImmutableList.<Step>builder().addAll(steps).add(step).build();
    return new RequestTrace(key, kind, tier, team, longer);
  }
}

package org.cranberrystand.schedule;

import org.cranberrystand.bundle.Tier;

/**
 * Why a request went where it went.
 *
 * @param key the key of the request
 * @param team the team of the request
 * @param kind the kind of work
 * @param tier the tier
 * @param atNanos when it was decided
 * @param queuedMillis how long the request had been queued
 * @param choice what was decided
 * @param target the upstream or the node; empty for a rejection
 * @param detail the reason in words
 * @param candidates how many upstreams had room for the request
 * @param cachedTokens prompt tokens expected in the cache of the target
 * @param workSeconds work at the target including the request, in seconds
 * @param leastWorkSeconds the least work among the candidates, in seconds
 */
public record DecisionRecord(
    long key,
    String team,
    String kind,
    Tier tier,
    long atNanos,
    long queuedMillis,
    Choice choice,
    String target,
    String detail,
    int candidates,
    long cachedTokens,
    double workSeconds,
    double leastWorkSeconds) {

  /** What was decided about a request. */
  public enum Choice {
    /** Sent to an upstream. */
    DISPATCHED,
    /** Answered as not run. */
    REJECTED,
    /** Given to another node. */
    HANDED_OVER
  }
}

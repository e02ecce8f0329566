package org.cranberrystand.schedule;

import org.cranberrystand.bundle.Tier;

/**
 * A scheduling decision about a request and the figures behind it.
 *
 * @param key the key of the request, unique on the node
 * @param team the team of the request
 * @param kind the name of the kind of work
 * @param tier the tier
 * @param atNanos when the decision was made, on the node's monotonic clock in nanoseconds
 * @param queuedMillis how long the request had been queued, in milliseconds
 * @param choice the outcome
 * @param target the name of the upstream or of the peer; empty for a rejection
 * @param detail the reason, as text for operators
 * @param candidates the number of upstreams that could admit the request; 0 unless dispatched
 * @param cachedTokens prompt tokens expected in the prefix cache of the upstream; 0 unless
 *     dispatched
 * @param workSeconds estimated work of the upstream including the request, in seconds (or its
 *     number of running requests if speeds are ignored); 0 unless dispatched
 * @param minWorkSeconds the least {@code workSeconds} among the candidates; 0 unless dispatched
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
    double minWorkSeconds) {

  /** The possible outcomes of a scheduling decision. */
  public enum Choice {
    /** Sent to an upstream. */
    DISPATCHED,
    /** Answered with the outcome that the request was not run. */
    REJECTED,
    /** Handed over to another node. */
    HANDED_OVER
  }
}

package org.cranberrystand.upstream;

/**
 * What an upstream says about its load.
 *
 * @param observedAtNanos when the figures were true, on the node's monotonic clock
 * @param runningSequences requests being processed
 * @param waitingSequences requests admitted and not started
 * @param runningTokens tokens of context held by running requests
 * @param draining whether the upstream is leaving
 */
public record LoadReport(
    long observedAtNanos,
    int runningSequences,
    int waitingSequences,
    long runningTokens,
    boolean draining) {}

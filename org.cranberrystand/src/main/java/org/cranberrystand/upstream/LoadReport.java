package org.cranberrystand.upstream;

/**
 * The load that an upstream reports about itself.
 *
 * @param observedAtNanos the time of the figures, on the node's monotonic clock
 * @param runningSequences requests being processed
 * @param waitingSequences requests that were admitted but have not started
 * @param runningTokens tokens of context held by running requests
 * @param draining whether the upstream is leaving
 */
public record LoadReport(
    long observedAtNanos,
    int runningSequences,
    int waitingSequences,
    long runningTokens,
    boolean draining) {}

package org.cranberrystand.wire.http;

/**
 * Load report of an upstream, the answer to {@code GET /v1/load}.
 *
 * @param asOfMillisAgo the age of the figures in milliseconds
 * @param runningSequences requests being run
 * @param waitingSequences requests accepted and not started
 * @param runningTokens tokens held by the requests being run
 * @param draining whether the upstream is leaving
 */
public record EngineLoad(
    long asOfMillisAgo,
    int runningSequences,
    int waitingSequences,
    long runningTokens,
    boolean draining) {}

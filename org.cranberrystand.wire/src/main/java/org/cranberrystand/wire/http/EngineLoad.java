package org.cranberrystand.wire.http;

/**
 * Load report of an upstream, the response to {@code GET /v1/load}.
 *
 * @param asOfMillisAgo the age of the report in milliseconds
 * @param runningSequences the number of running requests
 * @param waitingSequences the number of accepted requests that have not started
 * @param runningTokens the number of tokens held by the running requests
 * @param draining whether the upstream is leaving and should get no new requests
 */
public record EngineLoad(
    long asOfMillisAgo,
    int runningSequences,
    int waitingSequences,
    long runningTokens,
    boolean draining) {}

package org.cranberrystand.dispatch;

/**
 * The figures behind a placement.
 *
 * @param running requests of all nodes at the upstream, as far as known
 * @param slots the requests that the upstream runs at once
 * @param prefillTokens prompt tokens that wait at the upstream
 * @param sharedTokens prompt tokens that the upstream has probably read for another request
 * @param firstAnswerMillis when the first event or the answer is expected, in milliseconds
 * @param candidates how many upstreams had a free slot
 */
public record PlacementChoice(
    int running,
    int slots,
    long prefillTokens,
    int sharedTokens,
    double firstAnswerMillis,
    int candidates) {}

package org.cranberrystand.dispatch;

/**
 * The figures behind the placement of a request, for the log.
 *
 * @param running requests of all nodes at the upstream, as far as this node knows
 * @param slots the number of requests that the upstream runs concurrently
 * @param prefillTokens prompt tokens that wait for prefill at the upstream
 * @param cachedTokens prompt tokens that are probably in the prefix cache of the upstream
 * @param expectedFirstResponseMillis the expected time to the first event of a stream or to the
 *     complete response, in milliseconds
 * @param expectedIntervalMillis the expected interval between two events of a stream, in
 *     milliseconds
 * @param candidates the number of upstreams that the request could be sent to
 */
public record PlacementChoice(
    int running,
    int slots,
    long prefillTokens,
    int cachedTokens,
    double expectedFirstResponseMillis,
    double expectedIntervalMillis,
    int candidates) {}

package org.cranberrystand.routing;

/**
 * A pool of upstreams.
 *
 * @param name the name of the pool
 * @param maxConnections the maximum number of connections that one upstream accepts from all nodes
 *     together; 0 if unknown
 * @param engine whether its upstreams are model engines that batch requests
 * @param eventTokens the number of tokens in one event of an engine's stream; 0 if unknown
 */
public record ServicePool(String name, int maxConnections, boolean engine, int eventTokens) {}

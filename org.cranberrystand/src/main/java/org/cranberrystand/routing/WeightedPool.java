package org.cranberrystand.routing;

/**
 * A pool that serves a share of the requests of a route.
 *
 * @param pool the name of the pool
 * @param weight the share of the pool, relative to the weights of the other pools of the route
 */
public record WeightedPool(String pool, double weight) {}

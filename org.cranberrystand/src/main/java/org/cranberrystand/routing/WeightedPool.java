package org.cranberrystand.routing;

/**
 * A pool that takes part of the requests of a route.
 *
 * @param pool the name of the pool
 * @param weight its part, relative to the weights of the other pools of the route
 */
public record WeightedPool(String pool, double weight) {}

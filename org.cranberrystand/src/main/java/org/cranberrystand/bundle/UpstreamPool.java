package org.cranberrystand.bundle;

import com.google.common.collect.ImmutableSet;

/**
 * Group of upstreams that serve the same kinds of work.
 *
 * @param name the name of the pool, unique in the bundle
 * @param type the type of the upstreams
 * @param model the name of the model that the engines serve; empty for services
 * @param checksFencing whether the engines reject orders with an outdated fencing number
 * @param refusalStatuses the HTTP statuses by which these upstreams indicate that they did not run
 *     the request
 */
public record UpstreamPool(
    String name,
    PoolType type,
    String model,
    boolean checksFencing,
    ImmutableSet<Integer> refusalStatuses) {}

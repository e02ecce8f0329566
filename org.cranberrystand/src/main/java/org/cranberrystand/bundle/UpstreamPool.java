package org.cranberrystand.bundle;

import com.google.common.collect.ImmutableSet;

/**
 * Group of upstreams that may serve the same kinds of work.
 *
 * @param name the name, unique in the bundle
 * @param type what the upstreams are
 * @param model the model that the engines serve; empty for services
 * @param checksFencing whether the engines refuse orders with an old fencing number
 * @param refusalStatuses HTTP statuses by which these upstreams state that they ran nothing
 */
public record UpstreamPool(
    String name,
    PoolType type,
    String model,
    boolean checksFencing,
    ImmutableSet<Integer> refusalStatuses) {}

package org.cranberrystand.routing;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;

/**
 * A team whose members may call.
 *
 * @param name the name, passed on to upstreams
 * @param keys the keys of its members
 * @param priority its rank, 0 first, in place of the rank of the route; empty for the route's
 * @param quota what its requests may cost
 */
public record TeamPolicy(
    String name, ImmutableSet<String> keys, OptionalInt priority, TokenQuota quota) {}

package org.cranberrystand.routing;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;

/**
 * The access and quota of a team.
 *
 * @param name the name of the team, passed on to upstreams
 * @param keys the API keys of its members
 * @param priority the priority of the team, which takes precedence over the priority of the route;
 *     0 is the most urgent and the default if empty
 * @param quota the quota of the team
 */
public record TeamPolicy(
    String name, ImmutableSet<String> keys, OptionalInt priority, TokenQuota quota) {}

package org.cranberrystand.bundle;

import com.google.common.collect.ImmutableSet;

/**
 * Shop that sends requests to the system.
 *
 * @param name the name of the shop, unique in the bundle
 * @param team the name of the team to which the shop belongs
 * @param kinds the names of the kinds of work that the shop may send
 */
public record Shop(String name, String team, ImmutableSet<String> kinds) {}

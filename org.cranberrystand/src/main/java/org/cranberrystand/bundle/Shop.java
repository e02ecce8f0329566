package org.cranberrystand.bundle;

import com.google.common.collect.ImmutableSet;

/**
 * Customer of the system.
 *
 * @param name the name, unique in the bundle
 * @param team the team it belongs to
 * @param kinds the kinds of work it may send
 */
public record Shop(String name, String team, ImmutableSet<String> kinds) {}

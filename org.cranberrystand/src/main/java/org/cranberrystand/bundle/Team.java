package org.cranberrystand.bundle;

/**
 * Group of shops that is the unit of fair sharing of capacity.
 *
 * @param name the name of the team, unique in the bundle
 * @param weight the share of the team relative to the others; greater than 0
 */
public record Team(String name, double weight) {}

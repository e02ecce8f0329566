package org.cranberrystand.bundle;

/**
 * Group of shops among which capacity is divided fairly.
 *
 * @param name the name, unique in the bundle
 * @param weight the share of the team relative to the others; greater than 0
 */
public record Team(String name, double weight) {}

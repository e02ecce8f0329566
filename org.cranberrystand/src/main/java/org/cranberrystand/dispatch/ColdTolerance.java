package org.cranberrystand.dispatch;

/**
 * How far the requests at a cold upstream may exceed the rate that it tolerates.
 *
 * @param over by which factor the requests of a second may exceed the rate
 * @param slack how many requests a second may contain in addition
 */
public record ColdTolerance(double over, double slack) {}

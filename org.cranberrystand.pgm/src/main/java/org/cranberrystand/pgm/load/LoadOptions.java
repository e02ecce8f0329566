package org.cranberrystand.pgm.load;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;

/**
 * Parameters of a load run.
 *
 * @param addresses caller addresses of the seed nodes
 * @param classes the request classes
 * @param floods the intervals with a higher arrival rate
 * @param ratePerSecond the total arrival rate of all classes, without floods
 * @param duration how long requests are sent
 * @param grace how long to wait for answers after the last request
 * @param seed the seed of the arrival times and request bodies
 * @param maxAttempts the maximum number of attempts per request
 * @param maxInFlight the maximum number of unanswered requests; requests above it are not sent
 */
public record LoadOptions(
    ImmutableList<HostAndPort> addresses,
    ImmutableList<RequestClass> classes,
    ImmutableList<Flood> floods,
    double ratePerSecond,
    Duration duration,
    Duration grace,
    long seed,
    int maxAttempts,
    int maxInFlight) {}

package org.cranberrystand.pgm.load;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;

/**
 * What a load consists of.
 *
 * @param addresses caller addresses of some nodes
 * @param classes the classes of requests
 * @param floods times of faster arrivals
 * @param ratePerSecond arrivals per second of all classes together, without floods
 * @param duration how long requests arrive
 * @param grace how long to wait for answers after the last arrival
 * @param seed the seed of arrivals and content
 * @param maxAttempts how often a request is sent at most
 * @param maxInFlight how many requests may wait for an answer at the same time
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

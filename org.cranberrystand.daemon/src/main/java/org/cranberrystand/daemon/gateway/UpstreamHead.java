package org.cranberrystand.daemon.gateway;

import java.util.Optional;

/**
 * What the node adds to a request for an upstream.
 *
 * @param instance the identifier of the upstream; another one at its address refuses the request
 * @param team the caller's team; empty if the route needs no key
 * @param waitMillis how long the answer is waited for, in milliseconds
 * @param lastEventId the last event that the caller has; empty to start from the first
 */
public record UpstreamHead(
    String instance, Optional<String> team, long waitMillis, Optional<String> lastEventId) {}

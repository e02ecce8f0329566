package org.cranberrystand.daemon.gateway;

import java.util.Optional;

/**
 * The values that the node adds to the headers of a request to an upstream.
 *
 * @param upstreamId the identifier of the upstream; another upstream that has taken over its
 *     address refuses the request
 * @param team the name of the caller's team; empty if the route requires no API key
 * @param waitMillis how long the node waits for the response, in milliseconds
 * @param lastEventId the last event that the caller received; empty to start from the first event
 */
public record UpstreamHeaders(
    String upstreamId, Optional<String> team, long waitMillis, Optional<String> lastEventId) {}

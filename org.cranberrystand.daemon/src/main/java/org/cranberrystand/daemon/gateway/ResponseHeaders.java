package org.cranberrystand.daemon.gateway;

/**
 * The parsed headers of an upstream's response.
 *
 * @param requestId the identifier of the attempt that the response belongs to; null if missing
 * @param sealed whether the response carries the upstream's seal
 * @param notRun whether the upstream states that it did not run the request
 */
public record ResponseHeaders(String requestId, boolean sealed, boolean notRun) {}

package org.cranberrystand.daemon.gateway;

/**
 * What the headers of an upstream's answer say.
 *
 * @param requestId the attempt that it answers; null if missing
 * @param sealed whether it carries the seal of the upstream
 * @param notRun whether the upstream says that it did not run the request
 */
public record AnswerHead(String requestId, boolean sealed, boolean notRun) {}

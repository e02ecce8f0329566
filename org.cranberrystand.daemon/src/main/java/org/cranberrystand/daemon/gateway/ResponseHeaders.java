package org.cranberrystand.daemon.gateway;

import java.util.Optional;
import org.cranberrystand.dispatch.ColdDuration;
import org.cranberrystand.dispatch.PauseRequest;
import org.cranberrystand.dispatch.RateLimit;
import org.cranberrystand.dispatch.ReportedSpeed;

/**
 * The parsed headers of an upstream's response.
 *
 * @param requestId the identifier of the attempt that the response belongs to; null if it states
 *     none or several
 * @param sealed whether the response carries the upstream's seal
 * @param notRun whether the upstream states that it did not run the request
 * @param leaving whether the upstream states that it is leaving
 * @param pause how long the upstream wants no further requests from this node; empty if it does not
 *     say
 * @param limit the rate to which the upstream limits all nodes together
 * @param coldDuration how much longer the upstream will be cold; empty if it does not say
 * @param refusalLimit the rate of refusals, to all nodes together, beyond which the upstream fails
 * @param speed how long work currently takes on the VM of the upstream; empty if it does not say
 */
public record ResponseHeaders(
    String requestId,
    boolean sealed,
    boolean notRun,
    boolean leaving,
    Optional<PauseRequest> pause,
    RateLimit limit,
    Optional<ColdDuration> coldDuration,
    RateLimit refusalLimit,
    Optional<ReportedSpeed> speed) {

  /** Returns the text that the log writes after got=; the log keeps the old name of the record. */
  @Override
  public String toString() {
    return "AnswerHead[requestId=" + requestId + ", sealed=" + sealed + ", notRun=" + notRun + "]";
  }
}

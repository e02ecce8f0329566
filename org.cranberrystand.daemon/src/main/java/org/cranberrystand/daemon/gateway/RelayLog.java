package org.cranberrystand.daemon.gateway;

import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.PlacementChoice;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.RegisteredUpstream;

/** Writes the decisions about one request to the log. Used on the event loop only. */
final class RelayLog {
  private final EventLog log;
  private final String request;
  private final long arrivalNanos;

  /**
   * Creates a log for one request.
   *
   * @param log receives the events
   * @param requestId the caller's identifier of the request
   * @param route the name of its route
   * @param team the name of its team
   * @param arrivalNanos when it arrived
   */
  RelayLog(EventLog log, String requestId, String route, String team, long arrivalNanos) {
    this.log = log;
    this.request = "request=" + requestId + " route=" + route + " team=" + team;
    this.arrivalNanos = arrivalNanos;
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  private long ageMillis() {
    return millis(System.nanoTime() - arrivalNanos);
  }

  void placed(RegisteredUpstream upstream, PlacementChoice choice, int run) {
    log.write(
        LogEvent.REQUEST_PLACED,
        request
            + " upstream="
            + upstream.id()
            + " run="
            + run
            + " waited_ms="
            + ageMillis()
            + " running="
            + choice.running()
            + " slots="
            + choice.slots()
            + " prefill_tokens="
            + choice.prefillTokens()
            + " shared_tokens="
            + choice.cachedTokens()
            + " expected_ms="
            + Math.round(choice.expectedFirstResponseMillis())
            + " candidates="
            + choice.candidates());
  }

  void refused(NotRunReason reason, int waiting, long retryAfterMillis) {
    log.write(
        LogEvent.REQUEST_REFUSED,
        request
            + " reason="
            + reason.label()
            + " waited_ms="
            + ageMillis()
            + " waiting="
            + waiting
            + " retry_after_ms="
            + retryAfterMillis);
  }

  void ended(String outcome, int status, RegisteredUpstream upstream, int runs, long firstNanos) {
    log.write(
        LogEvent.REQUEST_ENDED,
        request
            + " outcome="
            + outcome
            + " status="
            + status
            + " upstream="
            + (upstream == null ? "none" : upstream.id())
            + " runs="
            + runs
            + " first_ms="
            + (firstNanos == 0 ? -1 : millis(firstNanos - arrivalNanos))
            + " total_ms="
            + ageMillis());
  }

  void repeated(RegisteredUpstream upstream, int runs, String cause) {
    log.write(
        LogEvent.REQUEST_REPEATED,
        request + " upstream=" + upstream.id() + " runs=" + runs + " cause=" + cause);
  }

  void broken(RegisteredUpstream upstream, String call, Throwable cause) {
    log.write(
        LogEvent.UPSTREAM_BROKEN,
        request + " upstream=" + upstream.id() + " call=" + call + " cause=" + cause);
  }
}

package org.cranberrystand.daemon.gateway;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.HedgeTarget;
import org.cranberrystand.dispatch.PlacementChoice;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.routing.Route;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.upstream.RegisteredUpstream;

/** Writes the log events of one request. Used only on the event loop. */
final class RelayLog {
  private final EventLog log;
  private final String requestFields;
  private final long arrivalNanos;

  /**
   * Creates the log of a request.
   *
   * @param log the event log
   * @param requestId the identifier of the caller's attempt
   * @param route the route of the request
   * @param team the team of the caller
   * @param arrivalNanos the monotonic time of the arrival, in nanoseconds
   */
  RelayLog(
      EventLog log, String requestId, Route route, Optional<TeamPolicy> team, long arrivalNanos) {
    this.log = log;
    this.requestFields =
        "request="
            + LoggedText.of(requestId)
            + " route="
            + route.name()
            + " team="
            + team.map(TeamPolicy::name).orElse("none");
    this.arrivalNanos = arrivalNanos;
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  private long ageMillis() {
    return millis(System.nanoTime() - arrivalNanos);
  }

  void placed(RegisteredUpstream upstream, PlacementChoice choice, int runCount, long contentKey) {
    log.write(
        LogEvent.REQUEST_PLACED,
        requestFields
            + " content="
            + Long.toHexString(contentKey)
            + " upstream="
            + upstream.id()
            + " version="
            + upstream.softwareVersion()
            + " run="
            + runCount
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

  /** Logs that the request is sent through another node, after some upstreams may have run it. */
  void forwarded(RegisteredUpstream node, int runCount) {
    log.write(
        LogEvent.REQUEST_FORWARDED,
        requestFields + " to=" + node.id() + " runs=" + runCount + " waited_ms=" + ageMillis());
  }

  /** Logs that the caller resumes a stream after an event. */
  void resumed(String stream, String lastEventId) {
    log.write(
        LogEvent.STREAM_RESUMED,
        requestFields
            + " stream="
            + LoggedText.of(stream)
            + " after_event="
            + LoggedText.of(lastEventId));
  }

  void refused(NotRunReason reason, int waiting, long retryAfterMillis) {
    log.write(
        LogEvent.REQUEST_REFUSED,
        requestFields
            + " reason="
            + reason.label()
            + " waited_ms="
            + ageMillis()
            + " waiting="
            + waiting
            + " retry_after_ms="
            + retryAfterMillis);
  }

  void ended(
      String outcome,
      int status,
      RelayAttempt attempt,
      int runCount,
      long firstResponseNanos,
      String hedgeFields) {
    log.write(
        LogEvent.REQUEST_ENDED,
        requestFields
            + " outcome="
            + outcome
            + " status="
            + status
            + " upstream="
            + (attempt == null ? "none" : attempt.upstream().id())
            + " connection="
            + (attempt == null ? "none" : attempt.connectionName())
            + " runs="
            + runCount
            + " events="
            + (attempt == null ? "none" : attempt.eventRange())
            + " first_ms="
            + (firstResponseNanos == 0 ? -1 : millis(firstResponseNanos - arrivalNanos))
            + " total_ms="
            + ageMillis()
            + hedgeFields);
  }

  /** Logs that a second attempt is sent, and the figures behind it. */
  void hedged(
      RegisteredUpstream first,
      HedgeTarget target,
      long delayMillis,
      double percentile,
      double shareUsed) {
    log.write(
        LogEvent.REQUEST_HEDGED,
        requestFields
            + " first="
            + first.id()
            + " upstream="
            + target.upstream().id()
            + " delay_ms="
            + delayMillis
            + " percentile="
            + percentile
            + " share_used="
            + String.format(Locale.ROOT, "%.4f", shareUsed)
            + " candidates="
            + target.choice().candidates());
  }

  /** Logs that the request is sent again after an attempt. */
  void repeated(RelayAttempt attempt, int runCount, String cause) {
    log.write(
        LogEvent.REQUEST_REPEATED,
        requestFields
            + " upstream="
            + attempt.upstream().id()
            + " runs="
            + runCount
            + " events="
            + attempt.eventRange()
            + " cause="
            + cause);
  }

  void broken(RegisteredUpstream upstream, String call, Throwable cause) {
    log.write(
        LogEvent.UPSTREAM_BROKEN,
        requestFields + " upstream=" + upstream.id() + " call=" + call + " cause=" + cause);
  }

  /**
   * Logs that an upstream may have crashed because of the request, what identifies the request, and
   * how many crashes each of the keys now has.
   */
  void crashSuspected(
      RegisteredUpstream upstream, List<Long> contentKeys, List<Integer> crashCounts) {
    log.write(
        LogEvent.CRASH_SUSPECTED,
        requestFields
            + " upstream="
            + upstream.id()
            + " started_at_ms="
            + upstream.startedAtMillis()
            + " keys="
            + hexKeys(contentKeys)
            + " crashes="
            + crashCounts.stream().map(String::valueOf).collect(Collectors.joining(",")));
  }

  /** Logs that a connection of the request broke, but its upstream still runs. */
  void crashRuledOut(RegisteredUpstream upstream, List<Long> contentKeys) {
    log.write(
        LogEvent.CRASH_RULED_OUT,
        requestFields + " upstream=" + upstream.id() + " keys=" + hexKeys(contentKeys));
  }

  void probing(List<Long> contentKeys) {
    log.write(LogEvent.CONTENT_PROBED, requestFields + " keys=" + hexKeys(contentKeys));
  }

  private static String hexKeys(List<Long> contentKeys) {
    return contentKeys.stream().map(Long::toHexString).collect(Collectors.joining(","));
  }
}

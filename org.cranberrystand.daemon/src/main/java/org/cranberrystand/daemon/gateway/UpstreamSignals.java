package org.cranberrystand.daemon.gateway;

import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.PauseRequest;
import org.cranberrystand.dispatch.RateLimit;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Applies what upstreams say of themselves in their responses: that they are leaving, that they
 * want no requests from this node for some time, or how many they accept from all nodes. Used only
 * on the event loop.
 */
final class UpstreamSignals {
  private final FleetState fleet;
  private final CallDispatcher dispatcher;
  private final UpstreamLimits limits;
  private final EventLog log;

  UpstreamSignals(
      FleetState fleet, CallDispatcher dispatcher, UpstreamLimits limits, EventLog log) {
    this.fleet = fleet;
    this.dispatcher = dispatcher;
    this.limits = limits;
    this.log = log;
  }

  /**
   * Applies the headers of a response.
   *
   * @param upstream the upstream that responded
   * @param headers the headers
   * @param sentNanos when the request was sent
   */
  void received(RegisteredUpstream upstream, ResponseHeaders headers, long sentNanos) {
    limitStated(upstream, headers.limit(), sentNanos);
    if (headers.leaving()) {
      fleet.upstreamLeaving(upstream);
    }
    headers.pause().ifPresent(pause -> paused(upstream, pause));
  }

  private void limitStated(RegisteredUpstream upstream, RateLimit limit, long sentNanos) {
    if (!limit.isValid()) {
      log.write(LogEvent.HEADER_IGNORED, "header=limit upstream=" + upstream.id());
    }
    double before = limits.perSecond(upstream);
    if (limits.stated(upstream, limit, sentNanos, System.nanoTime())) {
      log.write(
          LogEvent.UPSTREAM_LIMITED,
          "upstream="
              + upstream.id()
              + " per_second="
              + limit.perSecond()
              + " before="
              + before
              + " source=answer");
    }
  }

  private void paused(RegisteredUpstream upstream, PauseRequest pause) {
    log.write(
        LogEvent.UPSTREAM_PAUSED,
        "upstream="
            + upstream.id()
            + " ms="
            + pause.millis()
            + " stated="
            + pause.statedValue()
            + " valid="
            + pause.isValid());
    dispatcher.pauseRequested(upstream, pause, System.nanoTime());
  }
}

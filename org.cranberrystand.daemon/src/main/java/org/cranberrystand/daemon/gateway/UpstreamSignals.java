package org.cranberrystand.daemon.gateway;

import java.util.HashSet;
import java.util.Set;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.PauseRequest;
import org.cranberrystand.dispatch.ReportedSpeed;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * Applies what upstreams say of themselves in their responses: that they are leaving, that they
 * want no requests from this node for some time, how many they accept or can refuse, or how long
 * work takes now. Used only on the event loop.
 */
final class UpstreamSignals {
  /** Bounds the memory for upstreams that have ended. */
  private static final int MAX_INVALID_SPEEDS = 1_000;

  private final FleetState fleet;
  private final CallDispatcher dispatcher;
  private final RateLimiter limiter;
  private final BrittleUpstreams brittle;
  private final EventLog log;

  /** The upstreams whose reported speed was last invalid, which is logged once. */
  private final Set<String> invalidSpeeds = new HashSet<>();

  UpstreamSignals(
      FleetState fleet,
      CallDispatcher dispatcher,
      RateLimiter limiter,
      BrittleUpstreams brittle,
      EventLog log) {
    this.fleet = fleet;
    this.dispatcher = dispatcher;
    this.limiter = limiter;
    this.brittle = brittle;
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
    limiter.statements().stated(upstream, headers.limit(), sentNanos);
    headers.coldDuration().ifPresent(cold -> limiter.coldStated(upstream, cold, sentNanos));
    brittle.statements().stated(upstream, headers.refusalLimit(), sentNanos);
    if (headers.leaving()) {
      fleet.upstreamLeaving(upstream);
    }
    headers.pause().ifPresent(pause -> paused(upstream, pause));
    headers.speed().ifPresent(speed -> speedReported(upstream, speed));
  }

  private void speedReported(RegisteredUpstream upstream, ReportedSpeed speed) {
    if (speed.isValid()) {
      invalidSpeeds.remove(upstream.id());
      dispatcher.speedReported(upstream, speed, System.nanoTime());
    } else if (invalidSpeeds.size() < MAX_INVALID_SPEEDS && invalidSpeeds.add(upstream.id())) {
      log.write(
          LogEvent.HEADER_IGNORED,
          "header=speed upstream=" + upstream.id() + " value=" + speed.statedValue());
    }
  }

  /** Records that an upstream refused a request. */
  void refused(RegisteredUpstream upstream) {
    long millis = brittle.pauseMillis(upstream);
    if (millis > 0) {
      dispatcher.pauseRequested(upstream, PauseRequest.ofMillis(millis), System.nanoTime());
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

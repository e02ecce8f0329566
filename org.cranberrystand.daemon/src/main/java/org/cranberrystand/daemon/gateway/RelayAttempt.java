package org.cranberrystand.daemon.gateway;

import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.PlacementChoice;
import org.cranberrystand.dispatch.SilencePolicy;
import org.cranberrystand.routing.Route;
import org.cranberrystand.upstream.RegisteredUpstream;

/** One attempt of a request, at an upstream or at another node. Used only on the event loop. */
final class RelayAttempt {
  private final RegisteredUpstream upstream;
  private final PlacementChoice placement;
  private final ResponseAssembler response;
  private final long sentNanos = System.nanoTime();
  private UpstreamExchange exchange;
  private boolean inProgress;
  private boolean responded;
  private int eventCount;
  private String firstEventId;
  private String lastEventId;

  /**
   * Creates an attempt that is not sent yet.
   *
   * @param upstream the upstream, or the other node
   * @param placement the figures behind the choice of the upstream; null at another node
   * @param response assembles the response
   */
  RelayAttempt(RegisteredUpstream upstream, PlacementChoice placement, ResponseAssembler response) {
    this.upstream = upstream;
    this.placement = placement;
    this.response = response;
  }

  RegisteredUpstream upstream() {
    return upstream;
  }

  PlacementChoice placement() {
    return placement;
  }

  ResponseAssembler response() {
    return response;
  }

  /** Returns how long the upstream has been silent; -1 if the attempt is not in progress. */
  long silentMillis() {
    return inProgress ? TimeUnit.NANOSECONDS.toMillis(response.silentNanos()) : -1;
  }

  /** Returns how long the upstream may be silent. */
  long silenceLimitMillis(Route route, long patienceNanos) {
    long patienceMillis = TimeUnit.NANOSECONDS.toMillis(patienceNanos);
    return hasEvents()
        ? SilencePolicy.eventLimitMillis(route.gapTargetMillis(), patienceMillis, placement)
        : SilencePolicy.firstResponseLimitMillis(route.targetMillis(), patienceMillis, placement);
  }

  long sentNanos() {
    return sentNanos;
  }

  void sent(UpstreamExchange startedExchange) {
    exchange = startedExchange;
    inProgress = true;
  }

  /** Returns whether the attempt was sent and has not ended. */
  boolean isInProgress() {
    return inProgress;
  }

  /** Records that the upstream has ended its response, or the connection. */
  void ended() {
    inProgress = false;
    response.release();
  }

  /** Ends the attempt and closes its connection. */
  void cancel() {
    if (inProgress) {
      inProgress = false;
      response.release();
      exchange.cancel();
    }
  }

  void setReading(boolean reading) {
    if (inProgress) {
      exchange.setReading(reading);
    }
  }

  /** Returns whether the upstream may have received the request. */
  boolean isSent() {
    return exchange.isSent();
  }

  /** Returns the name of the connection in the log; {@code none} before one is open. */
  String connectionName() {
    return exchange == null ? "none" : exchange.connectionName();
  }

  /** Returns when the connection was opened, in nanoseconds. */
  long connectedNanos() {
    return exchange.connectedNanos();
  }

  /** Records the head of the response, or the first event of a stream. */
  void setResponded() {
    responded = true;
  }

  boolean hasResponded() {
    return responded;
  }

  /** Records that events of a stream arrived, and the identifiers of the first and the last one. */
  void addEvents(int count, String firstId, String lastId) {
    if (!hasEvents()) {
      firstEventId = firstId;
    }
    eventCount += count;
    lastEventId = lastId;
  }

  /** Returns the identifiers of the first and the last event in the log; {@code none} without. */
  String eventRange() {
    return hasEvents() ? firstEventId + ".." + lastEventId : "none";
  }

  boolean hasEvents() {
    return eventCount > 0;
  }

  /**
   * Returns whether the upstream has survived the start of the request. With the first event, it
   * may just be starting.
   */
  boolean hasSurvivedStart() {
    return eventCount > 1;
  }
}

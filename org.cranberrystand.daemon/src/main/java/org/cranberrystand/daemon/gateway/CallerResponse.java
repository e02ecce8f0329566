package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;

/**
 * The response to the caller of one request, which may be made of the events of several upstreams.
 * Used only on the event loop.
 */
final class CallerResponse {
  private final CallerExchange exchange;
  private final HeaderCodec headerCodec;

  /** The response of which the caller has the head; null before. */
  private ResponseAssembler started;

  private long firstNanos;
  private String lastEventId;

  /**
   * Creates a response that is not started.
   *
   * @param exchange the exchange with the caller
   * @param headerCodec removes headers that are not for callers
   * @param lastEventId the last event that the caller had before the request; null if none
   */
  CallerResponse(CallerExchange exchange, HeaderCodec headerCodec, String lastEventId) {
    this.exchange = exchange;
    this.headerCodec = headerCodec;
    this.lastEventId = lastEventId;
  }

  /** Returns whether the caller has the head of the response. */
  boolean isStarted() {
    return started != null;
  }

  /** Returns when the first event or the whole response arrived; 0 before. */
  long firstNanos() {
    return firstNanos;
  }

  /** Returns the last event that the caller has; null if it has none. */
  String lastEventId() {
    return lastEventId;
  }

  /**
   * Returns whether a part may follow; once the caller has a head, only one of the same response.
   */
  boolean accepts(ResponseAssembler received) {
    return isStarted() ? received == started : received.isForwardable();
  }

  /** Sends the head, unless the caller has one. */
  void start(ResponseAssembler received) {
    if (!isStarted()) {
      started = received;
      exchange.startResponse(received.status(), received.callerHeaders(headerCodec));
    }
  }

  /** Records when a first event or a whole response arrived. */
  void arrived(long nanos) {
    if (firstNanos == 0) {
      firstNanos = nanos;
    }
  }

  /** Sends events; the head must have been sent. */
  void sendEvents(ByteBuf events, String eventId) {
    lastEventId = eventId;
    exchange.sendPart(events);
  }

  /** Sends a part of a body; the head must have been sent. */
  void sendPart(ByteBuf part) {
    exchange.sendPart(part);
  }

  /** Ends the response as complete. */
  void finish() {
    exchange.finishResponse();
  }

  /** Sends a whole response, or the rest of one whose head the caller has. */
  void sendWhole(ResponseAssembler received, ByteBuf body) {
    if (isStarted()) {
      exchange.sendPart(body);
      exchange.finishResponse();
    } else {
      exchange.respond(received.status(), received.callerHeaders(headerCodec), body);
    }
  }

  /** Closes the connection, the only way to show that a started response is incomplete. */
  void abort() {
    exchange.abort();
  }
}

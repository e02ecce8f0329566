package org.cranberrystand.daemon.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.SseEvent;

/**
 * Checks that the events of one answer are consecutive and belong to its request.
 *
 * <p>Not thread-safe.
 */
final class EventSequence {

  /** Result of checking an event. */
  enum Verdict {
    /** The next event of the answer. */
    ACCEPTED,
    /** An event that was accepted before. */
    LATE,
    /** An event after a missing one, or without a number. */
    OUT_OF_SEQUENCE,
    /** An event of another request. */
    FOREIGN,
    /** A report that the answer broke off. */
    ERROR
  }

  private final String requestId;
  private long next;

  EventSequence(String requestId, long first) {
    this.requestId = requestId;
    this.next = first;
  }

  long next() {
    return next;
  }

  Verdict check(SseEvent event) {
    if (event.name().equals(SseEvent.ERROR)) {
      return Verdict.ERROR;
    }
    if (!event.isDone() && !belongs(event)) {
      return Verdict.FOREIGN;
    }
    if (event.id() != next) {
      return event.id() >= 0 && event.id() < next ? Verdict.LATE : Verdict.OUT_OF_SEQUENCE;
    }
    next++;
    return Verdict.ACCEPTED;
  }

  private boolean belongs(SseEvent event) {
    try {
      JsonNode data = Json.readTree(event.data().getBytes(StandardCharsets.UTF_8));
      return data != null && requestId.equals(data.path("request").textValue());
    } catch (IOException e) {
      return false;
    }
  }
}

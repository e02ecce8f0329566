package org.cranberrystand.daemon.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.SseEvent;

/**
 * Checks that the server-sent events of one answer are consecutive and belong to its request.
 *
 * <p>Not thread-safe.
 */
final class EventSequence {

  /** Result of checking an event. */
  enum CheckResult {
    /** The next event of the answer. */
    ACCEPTED,
    /** An event that was already accepted. */
    DUPLICATE,
    /** An event with a gap before it, or without an identifier. */
    OUT_OF_SEQUENCE,
    /** An event of another request. */
    WRONG_REQUEST,
    /** An event that reports that the answer is incomplete. */
    ERROR
  }

  private final String requestId;
  private long nextId;

  EventSequence(String requestId, long firstId) {
    this.requestId = requestId;
    this.nextId = firstId;
  }

  long nextId() {
    return nextId;
  }

  CheckResult check(SseEvent event) {
    if (event.name().equals(SseEvent.ERROR)) {
      return CheckResult.ERROR;
    }
    if (!event.isDone() && !isForRequest(event)) {
      return CheckResult.WRONG_REQUEST;
    }
    if (event.id() != nextId) {
      return event.id() >= 0 && event.id() < nextId
          ? CheckResult.DUPLICATE
          : CheckResult.OUT_OF_SEQUENCE;
    }
    nextId++;
    return CheckResult.ACCEPTED;
  }

  private boolean isForRequest(SseEvent event) {
    try {
      JsonNode data = Json.readTree(event.data().getBytes(StandardCharsets.UTF_8));
      return data != null && requestId.equals(data.path("request").textValue());
    } catch (IOException e) {
      return false;
    }
  }
}

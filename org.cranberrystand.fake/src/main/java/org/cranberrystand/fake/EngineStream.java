package org.cranberrystand.fake;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.SseEvent;

/**
 * One streamed answer of a fake engine, which continues independently of the connections that read
 * it.
 *
 * <p>Safe for use by several threads.
 */
final class EngineStream {
  private static final String OTHER_REQUEST_ID = "another-request";

  private final String id;
  private final String requestId;
  private final int totalTokens;
  private final AtomicInteger producedTokens = new AtomicInteger();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile boolean cancelled;

  private record Token(String request, String text) {}

  EngineStream(String id, String requestId, int totalTokens) {
    this.id = id;
    this.requestId = requestId;
    this.totalTokens = totalTokens;
  }

  String id() {
    return id;
  }

  String requestId() {
    return requestId;
  }

  int totalTokens() {
    return totalTokens;
  }

  boolean isCancelled() {
    return cancelled;
  }

  boolean isEnded() {
    return cancelled || producedTokens.get() >= totalTokens;
  }

  /** Returns the number of events that can be sent, with the final event once all tokens exist. */
  int sendableEvents() {
    int count = producedTokens.get();
    return count >= totalTokens ? totalTokens + 1 : count;
  }

  void produce(int count) {
    producedTokens.addAndGet(count);
    listeners.forEach(Runnable::run);
  }

  /** Cancels the stream; returns false if it has already ended. */
  boolean cancel() {
    if (isEnded()) {
      return false;
    }
    cancelled = true;
    listeners.forEach(Runnable::run);
    return true;
  }

  void addListener(Runnable listener) {
    listeners.add(listener);
  }

  void removeListener(Runnable listener) {
    listeners.remove(listener);
  }

  /** Returns the server-sent event at an index; the one after the last token ends the stream. */
  String event(int index) {
    String data =
        index < totalTokens ? Json.toText(new Token(requestId, token(index))) : SseEvent.DONE;
    return new SseEvent(index, "", data).toText();
  }

  /** Returns an event with the expected index that belongs to another request. */
  String otherRequestEvent(int index) {
    String data = Json.toText(new Token(OTHER_REQUEST_ID, "foreign"));
    return new SseEvent(index, "", data).toText();
  }

  /** Returns the complete answer as one JSON document. */
  String toDocument() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < totalTokens; i++) {
      text.append(token(i));
    }
    return Json.toText(new Token(requestId, text.toString()));
  }

  private static String token(int index) {
    return "t" + index + " ";
  }
}

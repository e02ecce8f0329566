package org.cranberrystand.fake;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.SseEvent;

/**
 * One answer that a fake engine generates, independent of the connections that read it.
 *
 * <p>Safe for use by several threads.
 */
final class EngineStream {
  private static final String FOREIGN_REQUEST = "another-request";

  private final String id;
  private final String requestId;
  private final int tokens;
  private final AtomicInteger produced = new AtomicInteger();
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private volatile boolean cancelled;

  private record Token(String request, String text) {}

  EngineStream(String id, String requestId, int tokens) {
    this.id = id;
    this.requestId = requestId;
    this.tokens = tokens;
  }

  String id() {
    return id;
  }

  String requestId() {
    return requestId;
  }

  int tokens() {
    return tokens;
  }

  boolean isCancelled() {
    return cancelled;
  }

  boolean isEnded() {
    return cancelled || produced.get() >= tokens;
  }

  /** Returns the number of events that can be sent, the last one included when it is due. */
  int available() {
    int count = produced.get();
    return count >= tokens ? tokens + 1 : count;
  }

  void produce(int count) {
    produced.addAndGet(count);
    listeners.forEach(Runnable::run);
  }

  /** Cancels the stream; returns false if it had ended. */
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

  String event(int index) {
    String data = index < tokens ? Json.toText(new Token(requestId, token(index))) : SseEvent.DONE;
    return new SseEvent(index, "", data).toText();
  }

  String foreignEvent(int index) {
    String data = Json.toText(new Token(FOREIGN_REQUEST, "foreign"));
    return new SseEvent(index, "", data).toText();
  }

  String wholeText() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < tokens; i++) {
      text.append(token(i));
    }
    return Json.toText(new Token(requestId, text.toString()));
  }

  private static String token(int index) {
    return "t" + index + " ";
  }
}

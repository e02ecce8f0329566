package org.cranberrystand.wire.http;

/**
 * Server-sent event of an engine stream.
 *
 * @param id the position in the stream from 0, or -1 if the event has none
 * @param name the event name; empty for the default
 * @param data the data; multiple data lines are joined by line feeds
 */
public record SseEvent(long id, String name, String data) {
  /** Data of the event that ends a complete answer. */
  public static final String DONE = "[DONE]";

  /** Name of the event that reports a failed answer. */
  public static final String ERROR = "error";

  /**
   * Returns whether this event marks the end of a complete answer.
   *
   * @return true for the last event
   */
  public boolean isDone() {
    return data.equals(DONE);
  }

  /**
   * Serializes the event.
   *
   * @return the text to send, including the terminating empty line
   */
  public String toText() {
    StringBuilder text = new StringBuilder(data.length() + 32);
    if (id >= 0) {
      text.append("id: ").append(id).append('\n');
    }
    if (!name.isEmpty()) {
      text.append("event: ").append(name).append('\n');
    }
    text.append("data: ").append(data.replace("\n", "\ndata: "));
    return text.append("\n\n").toString();
  }
}

package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>Callers receive only complete events: an upstream may fail within an event, and another
 * upstream then continues after the last complete one. Not thread-safe.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final ByteBuf pending = Unpooled.buffer();
  private String lastEventId;
  private int eventCount;

  /**
   * Adds bytes and returns the events that they complete.
   *
   * @param bytes the bytes; not released
   * @return the complete events, to be released by the caller; may be empty
   */
  ByteBuf add(ByteBuf bytes) {
    int scanFrom = Math.max(pending.readerIndex(), pending.writerIndex() - 3);
    pending.writeBytes(bytes);
    int end = endOfLastEvent(scanFrom);
    if (end < 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf events = Unpooled.copiedBuffer(pending.readSlice(end - pending.readerIndex()));
    pending.discardReadBytes();
    recordEvents(events);
    return events;
  }

  private int endOfLastEvent(int from) {
    for (int i = pending.writerIndex() - 1; i > from; i--) {
      if (pending.getByte(i) != '\n') {
        continue;
      }
      boolean crlf =
          i >= pending.readerIndex() + 3
              && pending.getByte(i - 1) == '\r'
              && pending.getByte(i - 2) == '\n';
      if (pending.getByte(i - 1) == '\n' || crlf) {
        return i + 1;
      }
    }
    return -1;
  }

  private void recordEvents(ByteBuf events) {
    String text = events.toString(StandardCharsets.UTF_8);
    for (int index = text.indexOf(ID_FIELD);
        index >= 0;
        index = text.indexOf(ID_FIELD, index + 1)) {
      eventCount++;
    }
    int index = text.lastIndexOf("\n" + ID_FIELD);
    int start = index >= 0 ? index + 1 : text.startsWith(ID_FIELD) ? 0 : -1;
    if (start >= 0) {
      int end = text.indexOf('\n', start);
      lastEventId =
          text.substring(start + ID_FIELD.length(), end < 0 ? text.length() : end).strip();
    }
  }

  /** Returns the number of events completed since the last call. */
  int takeEventCount() {
    int taken = eventCount;
    eventCount = 0;
    return taken;
  }

  /** Returns the identifier of the last complete event, or null. */
  String lastEventId() {
    return lastEventId;
  }

  /** Returns whether bytes of an incomplete event are buffered. */
  boolean hasPartialEvent() {
    return pending.isReadable();
  }
}

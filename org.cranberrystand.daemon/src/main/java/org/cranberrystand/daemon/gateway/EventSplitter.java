package org.cranberrystand.daemon.gateway;

import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>Callers receive only complete events: an upstream may fail within an event, and another
 * upstream then continues after the last complete one. The identifiers of events increase, so an
 * event whose identifier does not is out of order; a gap between identifiers shows nothing. Not
 * thread-safe.
 */
final class EventSplitter {
  /** Events of engines are some hundred bytes long. */
  private static final int MAX_EVENT_BYTES = 256 << 10;

  private static final String ID_FIELD = "id:";

  /** The bytes of the incomplete event; null if there are none. */
  private ByteBuf pending;

  private String firstEventId;

  /** The identifier of the last complete event, or before that of the one before the stream. */
  private String lastEventId;

  private int eventCount;
  private String disorder;
  private boolean taken;

  /**
   * Creates a splitter that has no bytes.
   *
   * @param lastEventId the identifier of the event after which the stream begins; null if none
   */
  EventSplitter(String lastEventId) {
    this.lastEventId = lastEventId;
  }

  /**
   * Adds bytes and returns the events that they complete, up to the first one that is out of order.
   *
   * @param bytes the bytes; not released
   * @return the complete events, to be released by the caller; may be empty
   */
  ByteBuf add(ByteBuf bytes) {
    if (pending == null) {
      pending = Unpooled.buffer(bytes.readableBytes());
    }
    int scanFrom = Math.max(pending.readerIndex(), pending.writerIndex() - 3);
    pending.writeBytes(bytes);
    int end = endOfLastEvent(scanFrom);
    if (end < 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf complete = pending.readSlice(end - pending.readerIndex());
    ByteBuf events =
        Unpooled.copiedBuffer(complete.slice(complete.readerIndex(), recordEvents(complete)));
    ByteBuf rest = pending.isReadable() ? pending.copy() : null;
    release();
    pending = rest;
    return events;
  }

  /** Releases the bytes of an incomplete event; no more bytes may be added. */
  void release() {
    if (pending != null) {
      pending.release();
      pending = null;
    }
  }

  /** Returns what the incomplete event takes in memory, in bytes. */
  int keptBytes() {
    return pending == null ? 0 : pending.capacity();
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

  /** Records the events up to the first one that is out of order, and returns their length. */
  private int recordEvents(ByteBuf events) {
    // One character for each byte, so that positions in the text are positions in the buffer.
    String text = events.toString(StandardCharsets.ISO_8859_1);
    int eventStart = 0;
    int lineStart = 0;
    String eventId = null;
    while (lineStart < text.length()) {
      int newline = text.indexOf('\n', lineStart);
      int lineEnd = newline < 0 ? text.length() : newline;
      String line = text.substring(lineStart, lineEnd);
      if (line.startsWith(ID_FIELD)) {
        String id = decodeId(line.substring(ID_FIELD.length()));
        String previousId = eventId == null ? lastEventId : eventId;
        if (!comesAfter(previousId, id)) {
          disorder = "event " + id + " after event " + previousId;
          return eventStart;
        }
        eventId = id;
      }
      lineStart = lineEnd + 1;
      if (line.isEmpty() || line.equals("\r")) {
        recordEvent(eventId);
        eventId = null;
        eventStart = lineStart;
      }
    }
    return text.length();
  }

  private static String decodeId(String field) {
    return new String(field.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8).strip();
  }

  /** Records a complete event, or a comment, which has no identifier and leaves the last one. */
  private void recordEvent(String id) {
    taken = true;
    if (id != null) {
      eventCount++;
      firstEventId = firstEventId == null ? id : firstEventId;
      lastEventId = id;
    }
  }

  /** Of identifiers that are not numbers it is only known that they differ; empty ones are none. */
  private static boolean comesAfter(String previousId, String id) {
    Long number = Longs.tryParse(id);
    Long previous = previousId == null ? null : Longs.tryParse(previousId);
    if (number == null || previous == null) {
      return id.isEmpty() || !id.equals(previousId);
    }
    return number > previous;
  }

  /** Returns the number of events completed since the last call. */
  int takeEventCount() {
    int taken = eventCount;
    eventCount = 0;
    return taken;
  }

  /** Returns why the stream is out of order, or null; no more bytes may be added then. */
  String disorder() {
    return disorder;
  }

  /** Returns the identifier of the first complete event, or null. */
  String firstEventId() {
    return firstEventId;
  }

  /**
   * Returns the identifier of the event after which the stream goes on, or null. Before the first
   * complete event it is null.
   */
  String lastEventId() {
    return taken ? lastEventId : null;
  }

  /** Returns whether an event is so long that it is none; no more bytes may be added then. */
  boolean isEventTooLong() {
    return pending != null && pending.readableBytes() > MAX_EVENT_BYTES;
  }

  /** Returns whether bytes of an incomplete event are buffered. */
  boolean hasPartialEvent() {
    return pending != null;
  }
}

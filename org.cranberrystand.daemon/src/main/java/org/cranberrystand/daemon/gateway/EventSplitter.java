package org.cranberrystand.daemon.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream of server-sent events into whole events.
 *
 * <p>Only whole events may reach a caller: an upstream can stop in the middle of one, and another
 * upstream goes on after the last whole one. Not thread-safe.
 */
final class EventSplitter {
  private static final String ID_FIELD = "id:";

  private final ByteBuf pending = Unpooled.buffer();
  private String lastId;
  private int count;

  /**
   * Adds bytes and takes the events that are whole now.
   *
   * @param bytes the bytes; not released
   * @return the whole events, to be released by the caller; may be empty
   */
  ByteBuf add(ByteBuf bytes) {
    int scanFrom = Math.max(pending.readerIndex(), pending.writerIndex() - 3);
    pending.writeBytes(bytes);
    int end = endOfLastEvent(scanFrom);
    if (end < 0) {
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf whole = Unpooled.copiedBuffer(pending.readSlice(end - pending.readerIndex()));
    pending.discardReadBytes();
    noteWhole(whole);
    return whole;
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

  private void noteWhole(ByteBuf whole) {
    String text = whole.toString(StandardCharsets.UTF_8);
    for (int at = text.indexOf(ID_FIELD); at >= 0; at = text.indexOf(ID_FIELD, at + 1)) {
      count++;
    }
    int at = text.lastIndexOf("\n" + ID_FIELD);
    int start = at >= 0 ? at + 1 : text.startsWith(ID_FIELD) ? 0 : -1;
    if (start >= 0) {
      int end = text.indexOf('\n', start);
      lastId = text.substring(start + ID_FIELD.length(), end < 0 ? text.length() : end).strip();
    }
  }

  /** Returns how many events were taken since the last call. */
  int takeCount() {
    int taken = count;
    count = 0;
    return taken;
  }

  /** Returns the identifier of the last whole event, or null. */
  String lastId() {
    return lastId;
  }

  /** Returns whether bytes of an event that is not whole are left. */
  boolean hasPartialEvent() {
    return pending.isReadable();
  }
}

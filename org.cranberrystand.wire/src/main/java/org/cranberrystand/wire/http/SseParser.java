package org.cranberrystand.wire.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Incremental parser of server-sent events.
 *
 * <p>Chunks may end anywhere, even within a character. Only complete events are returned; the bytes
 * after the last empty line are buffered until the next chunk. Not thread-safe.
 */
public final class SseParser {
  private final int maxEventBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private boolean hasData;
  private boolean afterCarriageReturn;
  private long id = -1;
  private String name = "";
  private int eventBytes;

  /**
   * Creates a parser.
   *
   * @param maxEventBytes the maximum size of an event in bytes
   */
  public SseParser(int maxEventBytes) {
    this.maxEventBytes = maxEventBytes;
  }

  /**
   * Parses the next chunk of the stream.
   *
   * @param chunk the next bytes of the stream
   * @return the events that this chunk completes, in order
   * @throws SseFormatException if an event is too long or has an invalid identifier; the parser
   *     must not be used after that
   */
  public List<SseEvent> feed(byte[] chunk) throws SseFormatException {
    List<SseEvent> events = new ArrayList<>();
    for (byte b : chunk) {
      boolean lineFeedOfCrLf = afterCarriageReturn && b == '\n';
      afterCarriageReturn = b == '\r';
      if (lineFeedOfCrLf) {
        continue;
      }
      if (b == '\n' || b == '\r') {
        endLine(events);
      } else {
        if (++eventBytes > maxEventBytes) {
          throw new SseFormatException("event longer than " + maxEventBytes + " bytes");
        }
        line.write(b);
      }
    }
    return events;
  }

  private void endLine(List<SseEvent> events) throws SseFormatException {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.isEmpty()) {
      endEvent(events);
      return;
    }
    int colon = text.indexOf(':');
    String field = colon < 0 ? text : text.substring(0, colon);
    String value = colon < 0 ? "" : text.substring(colon + 1);
    setField(field, value.startsWith(" ") ? value.substring(1) : value);
  }

  private void setField(String field, String value) throws SseFormatException {
    if (field.equals("id")) {
      id = parseId(value);
    } else if (field.equals("event")) {
      name = value;
    } else if (field.equals("data")) {
      if (hasData) {
        data.append('\n');
      }
      data.append(value);
      hasData = true;
    }
  }

  private static long parseId(String value) throws SseFormatException {
    try {
      long parsed = Long.parseLong(value);
      if (parsed >= 0) {
        return parsed;
      }
    } catch (NumberFormatException e) {
      throw new SseFormatException("event identifier is not a number");
    }
    throw new SseFormatException("event identifier is negative");
  }

  private void endEvent(List<SseEvent> events) {
    if (hasData) {
      events.add(new SseEvent(id, name, data.toString()));
    }
    data.setLength(0);
    hasData = false;
    id = -1;
    name = "";
    eventBytes = 0;
  }
}

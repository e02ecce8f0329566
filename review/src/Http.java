import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
  private Http() {}

  /** The start line and headers of a message; header names are in lower case. */
  record Head(String startLine, Map<String, String> headers) {
    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String method() {
      return startLine.split(" ", 3)[0];
    }

    String target() {
      return startLine.split(" ", 3)[1];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ", 3)[1]);
    }
  }

  /** Returns the next head; null if the connection ended before its first byte. */
  static Head readHead(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); ; line = readLine(in)) {
      if (line == null) {
        throw new EOFException("connection ended inside a head");
      }
      if (line.isEmpty()) {
        return new Head(start, headers);
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).strip());
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    int c = in.read();
    if (c < 0) {
      return null;
    }
    for (; c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("connection ended inside a line");
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  /** Reads a body that has a length or is chunked. */
  static byte[] readBody(InputStream in, Head head) throws IOException {
    StringBuilder body = new StringBuilder();
    readBody(in, head, body);
    return body.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Reads a body; what came of it is in the buffer also if it ended early. */
  static void readBody(InputStream in, Head head, StringBuilder body) throws IOException {
    if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
      readChunks(in, body);
      return;
    }
    String length = head.header("content-length");
    append(in, length == null ? 0 : Integer.parseInt(length), body);
  }

  private static void append(InputStream in, int count, StringBuilder body) throws IOException {
    byte[] bytes = in.readNBytes(count);
    body.append(new String(bytes, StandardCharsets.ISO_8859_1));
    if (bytes.length < count) {
      throw new EOFException("connection ended inside a body");
    }
  }

  private static void readChunks(InputStream in, StringBuilder body) throws IOException {
    while (true) {
      String size = readLine(in);
      if (size == null) {
        throw new EOFException("connection ended between chunks");
      }
      int count = Integer.parseInt(size.strip(), 16);
      append(in, count, body);
      readLine(in);
      if (count == 0) {
        return;
      }
    }
  }
}

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
    if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
      return readChunks(in);
    }
    String length = head.header("content-length");
    int count = length == null ? 0 : Integer.parseInt(length);
    byte[] body = in.readNBytes(count);
    if (body.length < count) {
      throw new EOFException("connection ended inside a body");
    }
    return body;
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    StringBuilder body = new StringBuilder();
    while (true) {
      String size = readLine(in);
      if (size == null) {
        throw new EOFException("connection ended between chunks");
      }
      int count = Integer.parseInt(size.strip(), 16);
      byte[] chunk = in.readNBytes(count);
      if (chunk.length < count) {
        throw new EOFException("connection ended inside a chunk");
      }
      body.append(new String(chunk, StandardCharsets.ISO_8859_1));
      readLine(in);
      if (count == 0) {
        return body.toString().getBytes(StandardCharsets.ISO_8859_1);
      }
    }
  }
}

package review3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The first line and the headers of an HTTP/1.1 message, one character for each byte.
 *
 * @param firstLine the request line or the status line
 * @param lines the header lines
 */
record HttpHead(String firstLine, List<String> lines) {

  /** Reads a head; returns null if the connection ends before its first byte. */
  static HttpHead read(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    List<String> lines = new ArrayList<>();
    for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
      if (line == null) {
        throw new EOFException("connection ended within a head");
      }
      lines.add(line);
    }
    return new HttpHead(first, lines);
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("connection ended within a line");
      }
      line.write(b);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  /** Returns the value of the first header with a name; null if there is none. */
  String header(String name) {
    for (String line : lines) {
      int colon = line.indexOf(':');
      if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
        return line.substring(colon + 1).strip();
      }
    }
    return null;
  }

  int status() {
    return Integer.parseInt(firstLine.split(" ")[1]);
  }

  String target() {
    return firstLine.split(" ")[1];
  }

  /** Reads the body of a message that declares its length or has chunks. */
  byte[] readBody(InputStream in) throws IOException {
    if ("chunked".equalsIgnoreCase(header("Transfer-Encoding"))) {
      return readChunks(in);
    }
    String length = header("Content-Length");
    return length == null ? new byte[0] : readExactly(in, Integer.parseInt(length));
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      byte[] chunk = readChunk(in);
      if (chunk.length == 0) {
        return body.toByteArray();
      }
      body.write(chunk);
    }
  }

  /** Reads one chunk; the last one is empty. */
  static byte[] readChunk(InputStream in) throws IOException {
    String size = readLine(in);
    if (size == null) {
      throw new EOFException("connection ended between chunks");
    }
    byte[] chunk = readExactly(in, Integer.parseInt(size.split(";")[0].strip(), 16));
    if (readLine(in) == null) {
      throw new EOFException("connection ended after a chunk");
    }
    return chunk;
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("connection ended after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }
}

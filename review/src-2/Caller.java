import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Stand-in of a client: sends one request on a connection and reads the answer. */
final class Caller {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private Caller() {}

  /**
   * What became of a request.
   *
   * @param status the status; 0 if there is no complete answer
   * @param ending {@code complete}, {@code no connection}, {@code closed}, or {@code cut} if a part
   *     of the answer arrived
   */
  record Answer(int status, String ending, String body) {}

  /** Sends a request on a new connection. */
  static Answer send(String address, String head, String body, int deadlineMillis) {
    String host = address.substring(0, address.indexOf(':'));
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    try (Socket socket = new Socket()) {
      try {
        socket.connect(new InetSocketAddress(host, port), CONNECT_TIMEOUT_MILLIS);
      } catch (IOException e) {
        return new Answer(0, "no connection", "");
      }
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(deadlineMillis);
      return exchange(socket, head, body);
    } catch (IOException e) {
      return new Answer(0, "closed", e.toString());
    }
  }

  /** Sends a request on an open connection and reads the answer. */
  static Answer exchange(Socket socket, String head, String body) {
    boolean begun = false;
    try {
      String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
      socket.getOutputStream().write(
          (head + length + "\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String statusLine = Lab.readLine(in);
      if (statusLine.isEmpty()) {
        return new Answer(0, "closed", "");
      }
      begun = true;
      int contentLength = 0;
      for (String line = Lab.readLine(in); !line.isEmpty(); line = Lab.readLine(in)) {
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          contentLength = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
        }
      }
      byte[] read = in.readNBytes(contentLength);
      return read.length < contentLength
          ? new Answer(0, "cut", "")
          : new Answer(Integer.parseInt(statusLine.split(" ")[1]), "complete",
              new String(read, StandardCharsets.ISO_8859_1));
    } catch (IOException e) {
      return new Answer(0, begun ? "cut" : "closed", e.toString());
    }
  }
}

package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client. Used by one thread. */
final class CallerStandIn implements AutoCloseable {
  private final Socket socket = new Socket();
  private final InputStream in;

  /** An answer; the status is 0 if the connection ended without a complete one. */
  record Answer(int status, String seal, byte[] body, boolean closes, String retryAfter) {}

  CallerStandIn(GatewayProcess gateway, int timeoutMillis) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(gateway.host(), gateway.callerPort()), 1_000);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
  }

  Socket socket() {
    return socket;
  }

  InputStream in() {
    return in;
  }

  void send(String head, byte[] body) throws IOException {
    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    socket.getOutputStream().write(all);
    socket.getOutputStream().flush();
  }

  Answer receive() throws IOException {
    HttpHead head = HttpHead.read(in);
    if (head == null) {
      return new Answer(0, null, new byte[0], true, null);
    }
    byte[] body = head.readBody(in);
    return new Answer(
        head.status(),
        head.header("Response-Seal"),
        body,
        "close".equalsIgnoreCase(head.header("Connection")),
        head.header("Retry-After"));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client of the gateways that uses a new connection for each request. */
final class Caller {
  /** What came back; the status is 0 if the connection ended without a whole answer. */
  record Answer(String attempt, long sentNanos, int status, String body, String error) {}

  private final Record record;

  Caller(Record record) {
    this.record = record;
  }

  /** Sends a request and reads its answer. */
  Answer send(
      GatewayProcess gateway, String method, String path, String attempt, String key, String body) {
    long sentNanos = System.nanoTime();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(gateway.ip, GatewayProcess.FRONT_PORT), 1_000);
      socket.setSoTimeout(4_000);
      sentNanos = System.nanoTime();
      record.line(
          sentNanos, "client sends " + attempt + " " + method + " " + path + " to " + gateway.name);
      socket
          .getOutputStream()
          .write(request(method, path, attempt, key, body).getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Head head = Http.readHead(in);
      if (head == null) {
        throw new IOException("connection ended without an answer");
      }
      String text = new String(Http.readBody(in, head), StandardCharsets.ISO_8859_1);
      record.line("client got " + attempt + " " + head.status());
      return new Answer(attempt, sentNanos, head.status(), text, null);
    } catch (IOException e) {
      record.line("client got " + attempt + " no answer: " + e);
      return new Answer(attempt, sentNanos, 0, "", e.toString());
    }
  }

  /** Sends a request for a stream; the body of the answer holds the events that came. */
  Answer stream(
      GatewayProcess gateway, String path, String attempt, String key, String moreHeaders) {
    return stream(gateway, path, attempt, key, moreHeaders, 0);
  }

  /** Sends a request for a stream and closes its connection after a time, unless that is 0. */
  Answer stream(
      GatewayProcess gateway,
      String path,
      String attempt,
      String key,
      String moreHeaders,
      long leaveMillis) {
    long sentNanos = System.nanoTime();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(gateway.ip, GatewayProcess.FRONT_PORT), 1_000);
      socket.setSoTimeout(5_000);
      sentNanos = System.nanoTime();
      record.line(sentNanos, "client sends " + attempt + " POST " + path + " to " + gateway.name);
      if (leaveMillis > 0) {
        Threads.start(
            "leave",
            () -> {
              Threads.sleep(leaveMillis);
              Threads.close(socket);
            });
      }
      String request = request("POST", path, attempt, key, "prompt of " + attempt);
      String headers = "Model: m\r\nToken-Counts: 500,40\r\n" + moreHeaders;
      socket
          .getOutputStream()
          .write(
              request
                  .replace("Deadline-Ms: 3000", "Deadline-Ms: 15000")
                  .replace("Key: ", headers + "Key: ")
                  .getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Head head = Http.readHead(in);
      if (head == null) {
        throw new IOException("connection ended without an answer");
      }
      StringBuilder events = new StringBuilder();
      String error = null;
      try {
        Http.readBody(in, head, events);
      } catch (IOException e) {
        error = e.toString();
      }
      record.line("client got " + attempt + " " + head.status() + (error == null ? "" : " cut"));
      return new Answer(attempt, sentNanos, head.status(), events.toString(), error);
    } catch (IOException e) {
      record.line("client got " + attempt + " no answer: " + e);
      return new Answer(attempt, sentNanos, 0, "", e.toString());
    }
  }

  static String request(String method, String path, String attempt, String key, String body) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: "
        + attempt
        + "\r\nDeadline-Ms: 3000\r\nKey: "
        + key
        + (method.equals("POST") ? "\r\nContent-Length: " + body.length() : "")
        + "\r\n\r\n"
        + body;
  }
}

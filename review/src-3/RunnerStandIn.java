package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A runner, which serves one request at a time on a connection. Thread-safe. */
final class RunnerStandIn implements AutoCloseable {
  /** Answers a request. */
  interface Handler {
    /** Returns whether the connection stays open. */
    boolean handle(RunnerStandIn runner, HttpHead request, byte[] body, Socket connection)
        throws IOException;
  }

  private final String id;
  private final String service;
  private final int slots;
  private volatile ServerSocket listener;
  private final Handler handler;
  private volatile long bornMillis = System.currentTimeMillis();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile String state = "ready";
  private volatile String version = "v1";
  private int sequence;

  RunnerStandIn(String id, String service, int slots, InetAddress address, Handler handler)
      throws IOException {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.handler = handler;
    this.listener = new ServerSocket(0, 500, address);
    acceptFrom(listener);
  }

  String id() {
    return id;
  }

  String service() {
    return service;
  }

  /** Returns the version of the software, as the process has it that serves a connection. */
  String version() {
    return version;
  }

  /** Ends the process, with its connections. */
  void crash() throws IOException {
    listener.close();
    for (Socket socket : connections) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Starts the process again, at the same address, with another version of its software. */
  void startAgain(String newVersion) throws IOException {
    ServerSocket next = new ServerSocket();
    next.setReuseAddress(true);
    next.bind(listener.getLocalSocketAddress(), 500);
    version = newVersion;
    bornMillis = System.currentTimeMillis();
    sequence = 0;
    listener = next;
    acceptFrom(next);
  }

  void setState(String value) {
    state = value;
  }

  /** Returns the entry in the store, with a higher sequence each time. */
  synchronized String entry() {
    return "{\"Service\":\""
        + service
        + "\",\"Address\":\""
        + listener.getInetAddress().getHostAddress()
        + ":"
        + listener.getLocalPort()
        + "\",\"Zone\":\"zone-a\",\"Version\":\""
        + version
        + "\",\"Slots\":"
        + slots
        + ",\"State\":\""
        + state
        + "\",\"ColdRemainingMs\":0,\"Sequence\":"
        + ++sequence
        + ",\"born\":"
        + bornMillis
        + "}";
  }

  private void acceptFrom(ServerSocket open) {
    Threads.start("runner", () -> accept(open));
  }

  private void accept(ServerSocket open) throws IOException {
    while (!open.isClosed()) {
      Socket socket = open.accept();
      socket.setTcpNoDelay(true);
      connections.add(socket);
      Threads.start("runner-connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      boolean open = true;
      for (HttpHead head = HttpHead.read(in); head != null && open; head = HttpHead.read(in)) {
        byte[] body = head.readBody(in);
        if (head.target().equals("/report")) {
          respond(
              socket,
              200,
              "",
              ("{\"born\":" + bornMillis + ",\"Runs\":[]}").getBytes(StandardCharsets.UTF_8));
          continue;
        }
        String expected = head.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
          respond(socket, 421, "Instance-Id: " + id + "\r\n", new byte[0]);
          continue;
        }
        open = handler.handle(this, head, body, socket);
      }
    } finally {
      connections.remove(socket);
    }
  }

  /** Returns the headers of an answer to a request that this runner ran. */
  String answerHeaders(HttpHead request) {
    return "Attempt-Id: " + request.header("Attempt-Id") + "\r\nResponse-Seal: seal-" + id + "\r\n";
  }

  static void respond(Socket socket, int status, String headers, byte[] body) throws IOException {
    OutputStream out = socket.getOutputStream();
    String head =
        "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    out.write(all);
    out.flush();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : connections) {
      socket.close();
    }
  }
}

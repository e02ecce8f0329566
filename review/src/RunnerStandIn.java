import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A runner: registers itself in the store, beats, and answers requests. */
final class RunnerStandIn implements AutoCloseable {
  static final int HEARTBEAT_MILLIS = 1_200;

  /** Answers one request on its connection. */
  interface Work {
    void run(RunnerStandIn runner, Http.Head head, byte[] body, OutputStream out)
        throws IOException;
  }

  /** Thrown by work whose connection is reset. */
  static final class Reset extends IOException {
    private static final long serialVersionUID = 1;
  }

  final String id;
  final String service;
  final String version;
  private final String zone;
  private final int slots;
  private final long bornMillis = System.currentTimeMillis();
  private final StoreStandIn store;
  private final Record record;
  private final Work work;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private String state = "ready";
  private boolean registered = true;
  private int sequence;
  private volatile boolean ended;

  RunnerStandIn(
      String id, String service, String zone, int slots, StoreStandIn store, Record record, Work work)
      throws IOException {
    this(id, service, zone, slots, store, record, work, "1", 0);
  }

  /** Starts a runner of a version of the software, at a port of its own if the given one is 0. */
  RunnerStandIn(
      String id,
      String service,
      String zone,
      int slots,
      StoreStandIn store,
      Record record,
      Work work,
      String version,
      int port)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.store = store;
    this.record = record;
    this.work = work;
    this.version = version;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
    Threads.start("runner", this::accept);
    Threads.start("beat", this::beat);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** The work of a sound runner of a plain service. */
  static Work plainWork(int workMillis) {
    return (runner, head, body, out) -> {
      Threads.sleep(workMillis);
      String answer = "done " + head.header("attempt-id") + " by " + runner.id;
      out.write(
          ("HTTP/1.1 200 OK\r\nAttempt-Id: "
                  + head.header("attempt-id")
                  + "\r\nResponse-Seal: s-"
                  + runner.id
                  + "\r\nServer-Load: 1,0,"
                  + runner.slots
                  + "\r\nKeep-Alive: timeout=10\r\nContent-Length: "
                  + answer.length()
                  + "\r\n\r\n"
                  + answer)
              .getBytes(StandardCharsets.ISO_8859_1));
    };
  }

  /** The head of a stream of events in chunks. */
  static String streamHead(RunnerStandIn runner, Http.Head head) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: "
        + head.header("attempt-id")
        + "\r\nResponse-Seal: s-"
        + runner.id
        + "\r\nServer-Load: 1,0,"
        + runner.slots
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  /** One event of a stream as a chunk. */
  static String event(int number, String data) {
    String text = "id: " + number + "\ndata: " + data + "\n\n";
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private void beat() {
    while (!ended) {
      write();
      Threads.sleep(HEARTBEAT_MILLIS);
    }
  }

  private synchronized long write() {
    if (!registered || ended || store.isDown()) {
      return System.nanoTime();
    }
    sequence++;
    return store.put(
        "servers/" + id,
        "{\"Service\":\""
            + service
            + "\",\"Address\":\"127.0.0.1:"
            + listener.getLocalPort()
            + "\",\"Zone\":\""
            + zone
            + "\",\"Version\":\""
            + version
            + "\",\"Slots\":"
            + slots
            + ",\"State\":\""
            + state
            + "\",\"ColdRemainingMs\":0,\"Sequence\":"
            + sequence
            + ",\"born\":"
            + bornMillis
            + "}");
  }

  /** Reports that the runner is draining; returns when the store acknowledged it. */
  synchronized long drain() {
    state = "draining";
    return write();
  }

  /** Removes the entry without draining; returns when the store acknowledged it. */
  synchronized long leave() {
    registered = false;
    return store.delete("servers/" + id);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        connections.add(socket);
        Threads.start("runner-connection", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        byte[] body = Http.readBody(in, head);
        String attempt = head.header("attempt-id");
        String expected = head.header("expect-instance");
        if (expected != null && !expected.equals(id)) {
          record.line("runner " + id + " refuses " + attempt + " 421");
          socket
              .getOutputStream()
              .write(
                  ("HTTP/1.1 421 X\r\nNot-Run: 1\r\nAttempt-Id: "
                          + attempt
                          + "\r\nContent-Length: 0\r\n\r\n")
                      .getBytes(StandardCharsets.ISO_8859_1));
          continue;
        }
        record.line("runner " + id + " runs " + attempt + " " + head.startLine());
        work.run(this, head, body, socket.getOutputStream());
      }
    } catch (Reset e) {
      reset(socket);
    } catch (IOException e) {
      // The gateway closed the connection.
    } finally {
      connections.remove(socket);
      Threads.close(socket);
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // The gateway closed the connection first.
    }
    Threads.close(socket);
  }

  /** Ends the runner: its listener and connections close. */
  @Override
  public void close() {
    ended = true;
    Threads.close(listener);
    connections.forEach(Threads::close);
  }
}

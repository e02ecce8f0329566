import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Stand-in of a runner that serves plain requests: registers itself, renews its entry, refuses
 * requests for another instance, and runs the others for a fixed time. Thread-safe.
 */
final class Runner implements AutoCloseable {
  /** A request that began to run. */
  record Run(String attemptId, String path, String service, String runnerId) {}

  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final int SLOTS = 6;

  private final String id;
  private final String service;
  private final String zone;
  private final long workMillis;
  private final Store store;
  private final Consumer<Run> runListener;
  private final ServerSocket listener;
  private final long bornMillis = System.currentTimeMillis();
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean registered = true;
  private volatile Predicate<String> crashes = path -> false;
  private volatile Runnable crashListener = () -> {};
  private int sequence;

  Runner(String id, String service, String zone, String host, long workMillis, Store store,
      Consumer<Run> runListener) throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.workMillis = workMillis;
    this.store = store;
    this.runListener = runListener;
    this.listener = new ServerSocket(0, 200, InetAddress.getByName(host));
    Lab.start(this::accept);
    Lab.start(this::renew);
  }

  String id() {
    return id;
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Sets which requests, by their path, crash the runner as it begins to run them. */
  void crashOn(Predicate<String> paths, Runnable listener) {
    crashes = paths;
    crashListener = listener;
  }

  /** Ends as a crashed process does. The store removes the entry after three heartbeats. */
  private void crash() {
    registered = false;
    try {
      listener.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      // The sockets are closed all the same.
    }
    Lab.start(
        () -> {
          Lab.sleep(3 * HEARTBEAT_MILLIS);
          store.delete("servers/" + id);
        });
    crashListener.run();
  }

  private void renew() {
    while (registered && !listener.isClosed()) {
      register();
      Lab.sleep(HEARTBEAT_MILLIS);
    }
  }

  private synchronized void register() {
    store.put("servers/" + id,
        "{\"Service\":\"" + service + "\",\"Address\":\"" + address() + "\",\"Zone\":\"" + zone
            + "\",\"Version\":\"v1\",\"Slots\":" + SLOTS
            + ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":" + ++sequence
            + ",\"born\":" + bornMillis + "}");
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Lab.start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    sockets.add(socket);
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        String requestLine = Lab.readLine(in);
        if (requestLine.isEmpty()) {
          return;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = Lab.readLine(in); !line.isEmpty(); line = Lab.readLine(in)) {
          int colon = line.indexOf(':');
          headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
              line.substring(colon + 1).strip());
        }
        in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        socket.getOutputStream().write(
            answer(requestLine.split(" ")[1], headers).getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException e) {
      // The gateway closed the connection.
    } finally {
      sockets.remove(socket);
    }
  }

  private String answer(String path, Map<String, String> headers) {
    if (path.equals("/report")) {
      return response("200 OK", "", "{\"Stage\":\"combined\",\"Models\":[],\"Busy\":false,"
          + "\"Sequence\":1,\"Waiting\":0,\"Running\":0,\"Runs\":[],\"born\":" + bornMillis + "}");
    }
    String attempt = headers.get("attempt-id");
    String attemptHeader = "Attempt-Id: " + attempt + "\r\n";
    if (!id.equals(headers.getOrDefault("expect-instance", id))) {
      return response("421 Misdirected Request", attemptHeader + "Instance-Id: " + id + "\r\n", "");
    }
    slots.acquireUninterruptibly();
    try {
      runListener.accept(new Run(attempt, path, service, id));
      if (crashes.test(path)) {
        crash();
      }
      Lab.sleep(workMillis);
    } finally {
      slots.release();
    }
    return response("200 OK", attemptHeader + "Response-Seal: " + id + "." + attempt + "\r\n", "ok");
  }

  private static String response(String status, String headers, String body) {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
        + body;
  }

  @Override
  public void close() throws IOException {
    registered = false;
    listener.close();
  }
}

package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, with one listener for each gateway. Thread-safe. */
final class StoreStandIn implements AutoCloseable {
  private static final int PAGE_ITEMS = 500;
  private static final long HISTORY_MILLIS = 20_000;

  /** A change; the value is null if the key was removed. */
  private record Change(long revision, String key, byte[] value, long atMillis) {}

  private final TreeMap<String, Change> items = new TreeMap<>();
  private final List<Change> history = new ArrayList<>();
  private final List<Door> doors = new ArrayList<>();
  private long revision = 100;
  private long droppedRevision = 100;

  /** A listener of the store, whose answers can be delayed. */
  final class Door {
    private final ServerSocket listener;
    private volatile long delayMillis;
    private volatile boolean silent;
    private volatile int refuseStatus;

    Door(InetAddress address) throws IOException {
      listener = new ServerSocket(0, 100, address);
      Threads.start("store", this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    void setDelayMillis(long value) {
      delayMillis = value;
    }

    /** Reads what arrives and answers nothing. */
    void setSilent(boolean value) {
      silent = value;
    }

    /** Answers each call with a status; 0 for its result. */
    void setRefuseStatus(int value) {
      refuseStatus = value;
    }

    private void accept() throws IOException {
      while (!listener.isClosed()) {
        Socket socket = listener.accept();
        Threads.start("store-call", () -> serve(this, socket));
      }
    }
  }

  synchronized Door open(InetAddress address) throws IOException {
    Door door = new Door(address);
    doors.add(door);
    return door;
  }

  synchronized long put(String key, String value) {
    return change(key, value.getBytes(StandardCharsets.UTF_8));
  }

  synchronized long remove(String key) {
    return change(key, null);
  }

  private long change(String key, byte[] value) {
    Change change = new Change(++revision, key, value, System.nanoTime() / 1_000_000);
    history.add(change);
    if (value == null) {
      items.remove(key);
    } else {
      items.put(key, change);
    }
    while (change.atMillis() - history.get(0).atMillis() > HISTORY_MILLIS) {
      droppedRevision = history.remove(0).revision();
    }
    notifyAll();
    return revision;
  }

  private void serve(Door door, Socket socket) throws IOException {
    try (socket) {
      InputStream in = socket.getInputStream();
      OutputStream out = socket.getOutputStream();
      for (HttpHead call = HttpHead.read(in); call != null; call = HttpHead.read(in)) {
        Answer answer = answer(call.target());
        Threads.sleep(4 + door.delayMillis);
        if (door.silent) {
          Threads.sleep(60_000);
          return;
        }
        write(out, door.refuseStatus == 0 ? answer : new Answer(door.refuseStatus, "{}"));
        if ("close".equalsIgnoreCase(call.header("Connection"))) {
          return;
        }
      }
    }
  }

  private record Answer(int status, String body) {}

  private static void write(OutputStream out, Answer answer) throws IOException {
    byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 "
            + answer.status()
            + " X\r\nContent-Type: application/json\r\n"
            + "Store-Era: 0\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    out.write(head.getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  private synchronized Answer answer(String target) {
    int query = target.indexOf('?');
    Map<String, String> parameters = parameters(query < 0 ? "" : target.substring(query + 1));
    String prefix = parameters.getOrDefault("Prefix", "");
    String after = parameters.getOrDefault("After", "");
    return switch (query < 0 ? target : target.substring(0, query)) {
      case "/kv-range" -> range(prefix, after);
      case "/kv-watch" ->
          watch(prefix, Long.parseLong(after), Long.parseLong(parameters.get("WaitMs")));
      default -> new Answer(404, "{}");
    };
  }

  private static Map<String, String> parameters(String query) {
    Map<String, String> parameters = new HashMap<>();
    for (String part : query.split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        parameters.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return parameters;
  }

  private Answer range(String prefix, String after) {
    StringBuilder body = new StringBuilder("{\"Items\":[");
    int count = 0;
    boolean more = false;
    for (Change item : items.values()) {
      if (!item.key().startsWith(prefix) || item.key().compareTo(after) <= 0) {
        continue;
      }
      if (count == PAGE_ITEMS) {
        more = true;
        break;
      }
      body.append(count == 0 ? "" : ",").append(json(item));
      count++;
    }
    body.append("],\"MorePages\":").append(more);
    return new Answer(200, body.append(",\"CurrentRev\":").append(revision).append("}").toString());
  }

  private Answer watch(String prefix, long after, long waitMillis) {
    if (after < droppedRevision) {
      return new Answer(410, "{}");
    }
    long endMillis = System.nanoTime() / 1_000_000 + waitMillis;
    while (revision <= after) {
      long leftMillis = endMillis - System.nanoTime() / 1_000_000;
      if (leftMillis <= 0) {
        break;
      }
      Threads.await(this, leftMillis);
    }
    StringBuilder body = new StringBuilder("{\"events\":[");
    boolean first = true;
    for (Change change : history) {
      if (change.revision() > after && change.key().startsWith(prefix)) {
        body.append(first ? "" : ",").append(json(change));
        first = false;
      }
    }
    return new Answer(
        200, body.append("],\"CurrentRev\":").append(revision).append("}").toString());
  }

  private static String json(Change change) {
    String head = "{\"Key\":\"" + change.key() + "\",\"Revision\":" + change.revision();
    return change.value() == null
        ? head + ",\"Deleted\":true}"
        : head
            + ",\"CreatedRev\":"
            + change.revision()
            + ",\"Lease\":0,\"Value\":\""
            + Base64.getEncoder().encodeToString(change.value())
            + "\"}";
  }

  @Override
  public synchronized void close() throws IOException {
    for (Door door : doors) {
      door.listener.close();
    }
  }
}

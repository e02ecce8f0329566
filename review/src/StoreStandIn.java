import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The platform's store: its reading calls, and writes by the operator and the runners. */
final class StoreStandIn implements AutoCloseable {
  private static final int PAGE_ITEMS = 500;

  private record Item(String key, long revision, long createdRevision, String text) {}

  private final ServerSocket listener;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private final Set<Socket> waitingWatches = new HashSet<>();
  private long revision = 1;
  private boolean down;

  StoreStandIn() throws IOException {
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
    Threads.start("store", this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  /** Writes a value; the return is the acknowledgement. */
  synchronized long put(String key, String text) {
    Item before = items.get(key);
    revision++;
    Item item = new Item(key, revision, before == null ? revision : before.createdRevision, text);
    items.put(key, item);
    history.add(item);
    notifyAll();
    return System.nanoTime();
  }

  /** Removes a value; the return is the acknowledgement. */
  synchronized long delete(String key) {
    if (items.remove(key) != null) {
      history.add(new Item(key, ++revision, 0, null));
      notifyAll();
    }
    return System.nanoTime();
  }

  /** While the store is down, it answers each call of a gateway with 503 and takes no writes. */
  synchronized void setDown(boolean isDown) {
    down = isDown;
    cutWaitingWatches();
  }

  synchronized boolean isDown() {
    return down;
  }

  synchronized int waitingWatches() {
    return waitingWatches.size();
  }

  /** Cuts the watches that are waiting; returns how many there were. */
  synchronized int cutWaitingWatches() {
    int count = waitingWatches.size();
    waitingWatches.forEach(Threads::close);
    waitingWatches.clear();
    notifyAll();
    return count;
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Threads.start("store-call", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        String target = head.target();
        Map<String, String> query = query(target);
        if (isDown()) {
          answer(socket, 503, "{}");
        } else if (target.startsWith("/kv-range")) {
          answer(socket, 200, range(query));
        } else if (target.startsWith("/kv-watch")) {
          String body = watch(socket, query);
          if (body == null) {
            return;
          }
          answer(socket, 200, body);
        } else {
          answer(socket, 404, "{}");
        }
      }
    } catch (IOException e) {
      // The gateway or the case closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int mark = target.indexOf('?');
    if (mark >= 0) {
      for (String part : target.substring(mark + 1).split("&")) {
        int equals = part.indexOf('=');
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private synchronized String range(Map<String, String> query) {
    List<String> page = new ArrayList<>();
    boolean more = false;
    for (Item item : items.tailMap(query.getOrDefault("After", ""), false).values()) {
      if (item.key.startsWith(query.getOrDefault("Prefix", ""))) {
        if (page.size() == PAGE_ITEMS) {
          more = true;
          break;
        }
        page.add(json(item));
      }
    }
    return "{\"Items\":["
        + String.join(",", page)
        + "],\"MorePages\":"
        + more
        + ",\"CurrentRev\":"
        + revision
        + "}";
  }

  /** Waits for events; returns null if the watch was cut. */
  private synchronized String watch(Socket socket, Map<String, String> query)
      throws InterruptedException {
    long after = Long.parseLong(query.get("After"));
    String prefix = query.getOrDefault("Prefix", "");
    long endNanos = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000;
    List<String> events = events(after, prefix);
    if (events.isEmpty()) {
      waitingWatches.add(socket);
      while (events.isEmpty() && System.nanoTime() < endNanos) {
        wait(Math.max(1, Math.min(50, (endNanos - System.nanoTime()) / 1_000_000)));
        if (!waitingWatches.contains(socket)) {
          return null;
        }
        events = events(after, prefix);
      }
      waitingWatches.remove(socket);
    }
    return "{\"events\":[" + String.join(",", events) + "],\"CurrentRev\":" + revision + "}";
  }

  private List<String> events(long after, String prefix) {
    List<String> events = new ArrayList<>();
    for (int i = history.size() - 1; i >= 0 && history.get(i).revision > after; i--) {
      if (history.get(i).key.startsWith(prefix)) {
        events.add(0, json(history.get(i)));
      }
    }
    return events;
  }

  private static String json(Item item) {
    String start = "{\"Key\":\"" + item.key + "\",\"Revision\":" + item.revision;
    if (item.text == null) {
      return start + ",\"Deleted\":true}";
    }
    String value =
        Base64.getEncoder().encodeToString(item.text.getBytes(StandardCharsets.UTF_8));
    return start
        + ",\"CreatedRev\":"
        + item.createdRevision
        + ",\"Lease\":0,\"Value\":\""
        + value
        + "\"}";
  }

  private static void answer(Socket socket, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 "
            + status
            + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + bytes.length
            + "\r\n\r\n";
    socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() {
    Threads.close(listener);
  }
}

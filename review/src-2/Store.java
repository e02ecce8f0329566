import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in of the platform's store: reading calls over HTTP, writes by method calls. Thread-safe. */
final class Store implements AutoCloseable {
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1 << 20;

  private record Item(String key, byte[] value, long revision, long createdRevision) {
    String json() {
      if (value == null) {
        return "{\"Key\":\"" + key + "\",\"Revision\":" + revision + ",\"Deleted\":true}";
      }
      String encoded = Base64.getEncoder().encodeToString(value);
      return "{\"Key\":\"" + key + "\",\"Value\":\"" + encoded + "\",\"Revision\":" + revision
          + ",\"CreatedRev\":" + createdRevision + ",\"Lease\":0}";
    }
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(Lab::daemon);
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 1;

  Store(String host, int port) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, port), 0);
    server.createContext("/kv-range", this::range);
    server.createContext("/kv-watch", this::watch);
    server.setExecutor(threads);
    server.start();
  }

  void put(String key, String text) {
    put(key, text.getBytes(StandardCharsets.UTF_8));
  }

  synchronized void put(String key, byte[] value) {
    Item before = items.get(key);
    revision++;
    Item item = new Item(key, value, revision, before == null ? revision : before.createdRevision());
    items.put(key, item);
    history.add(item);
    notifyAll();
  }

  synchronized void delete(String key) {
    if (items.remove(key) != null) {
      history.add(new Item(key, null, ++revision, 0));
      notifyAll();
    }
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
      int equals = part.indexOf('=');
      query.put(
          part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private void range(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    List<String> page = new ArrayList<>();
    boolean more = false;
    int bytes = 0;
    long current;
    synchronized (this) {
      for (Item item : items.tailMap(query.getOrDefault("After", ""), false).values()) {
        if (page.size() == PAGE_ITEMS || bytes >= PAGE_BYTES) {
          more = true;
          break;
        }
        if (item.key().startsWith(query.getOrDefault("Prefix", ""))) {
          page.add(item.json());
          bytes += item.value().length;
        }
      }
      current = revision;
    }
    respond(exchange, "{\"Items\":[" + String.join(",", page) + "],\"MorePages\":" + more
        + ",\"CurrentRev\":" + current + "}");
  }

  private void watch(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    long after = Long.parseLong(query.get("After"));
    long endNanos = System.nanoTime() + Long.parseLong(query.get("WaitMs")) * 1_000_000;
    List<String> events = new ArrayList<>();
    long current;
    synchronized (this) {
      while (revision <= after && System.nanoTime() < endNanos) {
        try {
          wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return;
        }
      }
      for (Item item : history) {
        if (item.revision() > after && item.key().startsWith(query.getOrDefault("Prefix", ""))) {
          events.add(item.json());
        }
      }
      current = revision;
    }
    respond(exchange,
        "{\"events\":[" + String.join(",", events) + "],\"CurrentRev\":" + current + "}");
  }

  private static void respond(HttpExchange exchange, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", "0");
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}

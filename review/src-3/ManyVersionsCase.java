package review3;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A large configuration of which many versions come one after the other, under steady load. */
final class ManyVersionsCase implements Case {
  /** {@code ValueBytes} of the store. */
  private static final int MAX_VALUE_BYTES = 1_048_576;

  private static final int STORMS = 5;
  private static final int VERSIONS_PER_STORM = 12;
  private static final long VERSION_GAP_MILLIS = 330;
  private static final long STORM_GAP_MILLIS = 1_000;
  private static final long BEFORE_MILLIS = 6_000;

  /** {@code RecoverS} of the sheet. */
  private static final long RECOVER_MILLIS = 12_000;

  private static final long AFTER_MILLIS = 10_000;

  /** The largest body that the limits of the configuration allow. */
  private static final int LARGE_BODY_BYTES = 4_194_304;

  private static final int LARGE_CALLERS = 6;
  private static final int SMALL_BODY_BYTES = 72_000;
  private static final int SMALL_CALLERS = 40;

  /** {@code ConfigDeadlineMs} of the sheet, and the time for the record of an acknowledgement. */
  private static final long CONFIG_DEADLINE_MILLIS = 2_000 + 50;

  private static final long PROBE_GAP_MILLIS = 100;

  private final AtomicInteger lastId = new AtomicInteger();
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final Set<String> lost = ConcurrentHashMap.newKeySet();
  private final Map<String, Integer> ends = new TreeMap<>();

  /** When the versions were acknowledged, by version. */
  private final Map<Integer, Long> ackedMillis = new ConcurrentHashMap<>();

  private final AtomicInteger stale = new AtomicInteger();
  private volatile boolean stopped;

  @Override
  public boolean holds(Lab lab) throws IOException {
    int routes = routeCount();
    lab.store().put("op/config", config(1, routes));
    for (int i = 1; i <= 3; i++) {
      lab.runner("i-" + i, "svc", 6, this::run);
    }
    GatewayProcess gateway = lab.gateway();
    gateway.start();
    gateway.awaitReady();
    lab.log(
        "gateway ready; configuration has "
            + routes
            + " routes, "
            + config(1, routes).length()
            + " bytes");
    for (int i = 0; i < LARGE_CALLERS + SMALL_CALLERS; i++) {
      int bytes = i < LARGE_CALLERS ? LARGE_BODY_BYTES : SMALL_BODY_BYTES;
      Threads.start("caller", () -> call(lab, gateway, bytes));
    }
    Threads.start("probes", () -> probe(lab, gateway));
    Map<String, Integer> before = during(lab, "before the changes", BEFORE_MILLIS);
    int version = 1;
    for (int storm = 0; storm < STORMS; storm++) {
      for (int i = 0; i < VERSIONS_PER_STORM; i++) {
        // Without the disruption, one change takes the place of a storm.
        if (!Lab.isUndisturbed() || i == 0) {
          version++;
          lab.store().put("op/config", config(version, routes));
          ackedMillis.put(version, lab.millis());
        }
        Threads.sleep(VERSION_GAP_MILLIS);
      }
      lab.log(
          "version "
              + version
              + " written; alive="
              + gateway.isAlive()
              + " ready="
              + gateway.isReady()
              + " so far "
              + snapshot());
      Threads.sleep(STORM_GAP_MILLIS);
    }
    during(lab, "time to recover", RECOVER_MILLIS);
    Map<String, Integer> after = during(lab, "after the changes", AFTER_MILLIS);
    stopped = true;
    boolean alive = gateway.isAlive();
    double servedBefore = share(before);
    double servedAfter = share(after);
    lab.log("process alive=" + alive + " ready=" + gateway.isReady());
    lab.log(
        "refused with 401 later than ConfigDeadlineMs after the acknowledgement of the key: "
            + stale);
    lab.log(
        String.format(Locale.ROOT, "served before %.3f, after %.3f", servedBefore, servedAfter));
    lab.log(
        "requests that ran and whose kept connection was closed without an answer: "
            + lost.size()
            + " "
            + sorted(lost));
    for (String line : gateway.logText().split("\n")) {
      if (line.contains("OutOfMemory")) {
        lab.log("log of the gateway: " + line);
      }
    }
    // What else is recorded belongs to other rules.
    return stale.get() == 0;
  }

  /** Sends requests with the newest key that must be in force. */
  private void probe(Lab lab, GatewayProcess gateway) {
    while (!stopped) {
      Threads.sleep(PROBE_GAP_MILLIS);
      long nowMillis = lab.millis();
      int version =
          ackedMillis.entrySet().stream()
              .filter(acked -> nowMillis - acked.getValue() >= CONFIG_DEADLINE_MILLIS)
              .mapToInt(Map.Entry::getKey)
              .max()
              .orElse(1);
      String id = String.format(Locale.ROOT, "%016x", lastId.incrementAndGet());
      try (CallerStandIn caller = new CallerStandIn(gateway, 4_000)) {
        caller.send(head(id, "k" + version, 0), new byte[0]);
        int status = caller.receive().status();
        if (status == 401) {
          stale.incrementAndGet();
          lab.log(
              "probe "
                  + id
                  + " with the key of version "
                  + version
                  + ", acknowledged "
                  + (nowMillis - ackedMillis.get(version))
                  + " ms before: 401");
        }
      } catch (IOException e) {
        // A request without an answer shows no version.
      }
    }
  }

  private static String head(String id, String key, int bytes) {
    return "POST /p5/a HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: "
        + id
        + "\r\nDeadline-Ms: 3000\r\nKey: "
        + key
        + "\r\nContent-Length: "
        + bytes
        + "\r\n\r\n";
  }

  private static List<String> sorted(Set<String> ids) {
    List<String> list = new ArrayList<>(ids);
    list.sort(null);
    return list;
  }

  private boolean run(
      RunnerStandIn runner, HttpHead request, byte[] body, java.net.Socket connection)
      throws IOException {
    ran.add(request.header("Attempt-Id"));
    Threads.sleep(200);
    RunnerStandIn.respond(connection, 200, runner.answerHeaders(request), new byte[800]);
    return true;
  }

  /** Sends one request after the other, on a kept connection as long as it is open. */
  private void call(Lab lab, GatewayProcess gateway, int bytes) {
    byte[] body = new byte[bytes];
    while (!stopped) {
      try (CallerStandIn caller = new CallerStandIn(gateway, 4_000)) {
        boolean open = true;
        for (int count = 0; open && !stopped; count++) {
          open = send(lab, caller, body, count > 0);
        }
      } catch (IOException e) {
        count("no connection");
      }
      Threads.sleep(300);
    }
  }

  private boolean send(Lab lab, CallerStandIn caller, byte[] body, boolean kept) {
    String id = String.format(Locale.ROOT, "%016x", lastId.incrementAndGet());
    String end;
    boolean open = false;
    try {
      caller.send(head(id, "k1", body.length), body);
      CallerStandIn.Answer answer = caller.receive();
      open = answer.status() != 0 && !answer.closes();
      end = answer.status() == 0 ? "closed without an answer" : Integer.toString(answer.status());
    } catch (java.net.SocketTimeoutException e) {
      end = "no answer";
    } catch (IOException e) {
      end = "reset";
    }
    count(end);
    if (!end.equals("200")) {
      lab.log(
          "request "
              + id
              + " bytes="
              + body.length
              + " kept="
              + kept
              + " ran="
              + ran.contains(id)
              + " end="
              + end);
      if (kept && ran.contains(id) && (end.startsWith("closed") || end.equals("reset"))) {
        lost.add(id);
      }
    }
    return open;
  }

  private synchronized void count(String end) {
    ends.merge(end, 1, Integer::sum);
  }

  private synchronized Map<String, Integer> snapshot() {
    return new TreeMap<>(ends);
  }

  private Map<String, Integer> during(Lab lab, String name, long millis) {
    Map<String, Integer> begin = snapshot();
    Threads.sleep(millis);
    Map<String, Integer> end = snapshot();
    begin.forEach((key, value) -> end.merge(key, -value, Integer::sum));
    lab.log(name + ": ends of requests " + end);
    return end;
  }

  private static double share(Map<String, Integer> ends) {
    int all = ends.values().stream().mapToInt(Integer::intValue).sum();
    return all == 0 ? 0 : ends.getOrDefault("200", 0) / (double) all;
  }

  private static int routeCount() {
    int perRoute = route(1, 9_999).length() + 1;
    return (MAX_VALUE_BYTES - 1_000) / perRoute;
  }

  private static String route(int version, int number) {
    return "{\"Name\":\"r-"
        + number
        + "\",\"Host\":\"a.example\",\"Prefix\":\"/p"
        + number
        + "/\",\"Kind\":\"idempotent\",\"TimeoutMs\":"
        + (3_000 + version)
        + ",\"TargetLatencyMs\":300,\"Priority\":2,\"Service\":\"svc\",\"MaxAttempts\":2,"
        + "\"Public\":false,\"StickySessions\":false,\"StreamResume\":false}";
  }

  /** Returns a version of the configuration, which has a key and time-outs of its own. */
  private static String config(int version, int routes) {
    StringBuilder text = new StringBuilder("{\"Version\":" + version + ",\"Routes\":[");
    for (int i = 0; i < routes; i++) {
      text.append(i == 0 ? "" : ",").append(route(version, i));
    }
    StringBuilder keys = new StringBuilder("\"k1\"");
    for (int i = 2; i <= version; i++) {
      keys.append(",\"k").append(i).append("\"");
    }
    return text
        + "],\"Services\":["
        + Configs.service("svc")
        + "],"
        + Configs.LIMITS
        + ",\"Tenants\":["
        + Configs.tenant("t1", keys.toString())
        + "]}";
  }
}

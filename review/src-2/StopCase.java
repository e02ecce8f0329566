import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Gateways are stopped with SIGTERM in turn while clients with cached addresses send requests. The
 * case fails if a request ran whose connection ended without an answer.
 */
final class StopCase {
  private static final Pattern ADDRESS = Pattern.compile("\"([0-9.]+:[0-9]+)\"");
  private static final int GATEWAYS = 8;

  /** Together they send about 50 requests a second to each gateway. */
  private static final int CLIENTS = 24;

  private static final int PAUSE_MILLIS = 38;
  private static final int WORK_MILLIS = 3;
  private static final int DEADLINE_MILLIS = 3_000;

  /** As long as a response of the directory says; some clients keep it three times as long. */
  private static final long CACHE_NANOS = 2_000_000_000L;

  private static final int PATIENT_FACTOR = 3;

  private static final long DURATION_MILLIS = 80_000;

  /** Gateways are stopped one after the other, as in a rolling restart. */
  private static final long GAP_MILLIS = 1_000;

  private static final long GRACE_PERIOD_MILLIS = 8_000;

  private static volatile boolean stopped;

  private StopCase() {}

  /** Plays the case, and returns whether the rule held. */
  static boolean play(Record record, boolean trouble) throws Exception {
    Map<String, String> unanswered = new ConcurrentHashMap<>();
    AtomicInteger count = new AtomicInteger();
    try (Fleet fleet = new Fleet(record, GATEWAYS, Map.of())) {
      fleet.store().put("op/config", Configs.plain(3));
      for (int i = 1; i <= 4; i++) {
        fleet.addRunner("i-orders-" + i, "orders", WORK_MILLIS);
      }
      fleet.start();
      for (int i = 0; i < CLIENTS; i++) {
        long cacheNanos = i % 3 == 0 ? PATIENT_FACTOR * CACHE_NANOS : CACHE_NANOS;
        Lab.start(() -> new Client(fleet, record, count, unanswered, cacheNanos).run());
      }
      long endNanos = System.nanoTime() + DURATION_MILLIS * 1_000_000;
      for (int turn = 0; System.nanoTime() < endNanos; turn++) {
        Lab.sleep(GAP_MILLIS);
        GatewayProcess gateway = fleet.gateway(turn % GATEWAYS);
        if (trouble && Fleet.isReady(gateway)) {
          record.write("SIGTERM to %s", gateway.host());
          gateway.terminate();
          Lab.start(() -> restart(gateway, record));
        }
      }
      Lab.sleep(GRACE_PERIOD_MILLIS);
      stopped = true;
      Lab.sleep(DEADLINE_MILLIS);
      Set<String> ran = new HashSet<>();
      fleet.runs().forEach(run -> ran.add(run.attemptId()));
      Map<String, String> lost = new HashMap<>(unanswered);
      lost.keySet().retainAll(ran);
      record.write("%d requests, %d closed without an answer, of which ran: %s", count.get(),
          unanswered.size(), lost);
      if (fleet.runs().size() < count.get() / 2) {
        throw new Cases.NotRunException("the fleet did not serve");
      }
      return lost.isEmpty();
    }
  }

  private static void restart(GatewayProcess gateway, Record record) {
    try {
      boolean ended = gateway.awaitEnd(GRACE_PERIOD_MILLIS);
      record.write("%s ended by itself: %s", gateway.host(), ended);
      if (!ended) {
        gateway.kill();
      }
      gateway.start();
    } catch (InterruptedException | IOException e) {
      record.write("%s does not start again: %s", gateway.host(), e);
    }
  }

  private record Client(Fleet fleet, Record record, AtomicInteger count,
      Map<String, String> unanswered, long cacheNanos) {
    void run() {
      List<String> addresses = List.of();
      Set<String> failed = new HashSet<>();
      long fetchedNanos = 0;
      while (!stopped) {
        if (addresses.isEmpty() || System.nanoTime() - fetchedNanos > cacheNanos) {
          for (GatewayProcess gateway : fleet.gateways()) {
            Caller.Answer answer = Caller.send(gateway.host() + ":" + GatewayProcess.DIRECTORY_PORT,
                "GET /resolve?Name=shop.example&Region=r&Zone=zone-0 HTTP/1.1\r\nHost: d\r\n", "",
                1_000);
            if (answer.status() == 200) {
              addresses = ADDRESS.matcher(answer.body()).results().map(m -> m.group(1)).toList();
              fetchedNanos = System.nanoTime();
              failed.clear();
              break;
            }
          }
        }
        List<String> usable = addresses.stream().filter(a -> !failed.contains(a)).toList();
        if (usable.isEmpty()) {
          addresses = List.of();
          Lab.sleep(100);
          continue;
        }
        String address = usable.get(ThreadLocalRandom.current().nextInt(usable.size()));
        String attempt = "a" + count.incrementAndGet();
        Caller.Answer answer = Caller.send(address,
            "POST /deposit/" + attempt + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nKey: k1\r\n",
            "x", DEADLINE_MILLIS);
        if (answer.status() != 200) {
          record.write("client: %s to %s: %d %s", attempt, address, answer.status(),
              answer.ending());
        }
        if (answer.ending().equals("no connection")) {
          failed.add(address);
        } else if (answer.status() == 0) {
          unanswered.put(attempt, address);
        }
        Lab.sleep(ThreadLocalRandom.current().nextInt(2 * PAUSE_MILLIS));
      }
    }
  }
}

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer writes entries with missing fields under the identifiers of runners. Such an entry
 * names no runner to use; the case fails if requests of one service run at a runner of the other.
 */
final class OddEntryCase {
  private static final int ROUNDS = 24;

  /** Not a multiple of the heartbeat of runners, so that entries come at any time between two. */
  private static final int ROUND_MILLIS = 1_150;
  private static final int REQUEST_INTERVAL_MILLIS = 15;
  private static final int DEADLINE_MILLIS = 3_000;
  private static volatile boolean stopped;

  private OddEntryCase() {}

  /** Plays the case, and returns whether the rule held. */
  static boolean play(Record record, boolean trouble) throws Exception {
    try (Fleet fleet = new Fleet(record, 2, Map.of())) {
      fleet.store().put("op/config", Configs.plain(3));
      fleet.addRunner("i-orders-1", "orders", 40);
      fleet.addRunner("i-orders-2", "orders", 40);
      Runner lookup = fleet.addRunner("i-lookups-1", "lookups", 40);
      fleet.addRunner("i-lookups-2", "lookups", 40);
      fleet.start();
      AtomicInteger count = new AtomicInteger();
      for (int i = 0; i < 2; i++) {
        String address = fleet.gateway(i).callerAddress();
        Lab.start(() -> sendAll(record, address, "POST /deposit/", "x", count));
        Lab.start(() -> sendAll(record, address, "GET /stock/", "", count));
      }
      for (int round = 0; round < ROUNDS; round++) {
        Lab.sleep(ROUND_MILLIS);
        if (trouble) {
          String entry = "{\"Service\":\"orders\",\"Address\":\"" + lookup.address()
              + "\",\"Slots\":6,\"State\":\"ready\"}";
          record.write("another writer puts servers/%s: %s", lookup.id(), entry);
          fleet.store().put("servers/" + lookup.id(), entry);
        }
      }
      Lab.sleep(ROUND_MILLIS);
      stopped = true;
      Lab.sleep(ROUND_MILLIS);
      List<Runner.Run> foreign = fleet.runs().stream()
          .filter(run -> run.path().startsWith("/deposit/") != run.service().equals("orders"))
          .toList();
      record.write("%d requests sent, %d runs, %d at a service that no configuration names",
          count.get(), fleet.runs().size(), foreign.size());
      if (fleet.runs().size() < count.get() / 2) {
        throw new Cases.NotRunException("the fleet did not serve");
      }
      return foreign.isEmpty();
    }
  }

  private static void sendAll(
      Record record, String address, String target, String body, AtomicInteger count) {
    while (!stopped) {
      String attempt = "a" + count.incrementAndGet();
      Lab.start(() -> {
        Caller.Answer answer = Caller.send(address,
            target + attempt + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nKey: k1\r\n",
            body, DEADLINE_MILLIS);
        record.write("client: %s%s to %s: %d %s", target, attempt, address, answer.status(),
            answer.ending());
      });
      Lab.sleep(REQUEST_INTERVAL_MILLIS);
    }
  }
}

import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer writes entries of bytes that cannot be read, each as large as a value may be. The
 * case fails if a key that the operator takes away afterwards is accepted longer than allowed.
 */
final class LargeEntriesCase {
  private static final int ENTRIES = 48;

  /** {@code ValueBytes} of the store. */
  private static final int VALUE_BYTES = 1_048_576;

  private static final int ENTRY_INTERVAL_MILLIS = 250;
  private static final int GATEWAYS = 2;
  private static final int RUNNERS = 4;
  private static final int WORK_MILLIS = 20;
  private static final int CALM_MILLIS = 5_000;
  private static final int WATCHED_MILLIS = 15_000;

  /** {@code ConfigDeadlineMs}, and some time for the clocks of this test. */
  private static final double ALLOWED_SECONDS = 2.05;

  private static final int REQUEST_INTERVAL_MILLIS = 50;
  private static final int DEADLINE_MILLIS = 3_000;
  private static volatile boolean stopped;

  private LargeEntriesCase() {}

  /** Plays the case, and returns whether the rule held. */
  static boolean play(Record record, boolean trouble) throws Exception {
    Map<String, Double> sentSeconds = new ConcurrentHashMap<>();
    AtomicInteger count = new AtomicInteger();
    try (Fleet fleet = new Fleet(record, GATEWAYS, Map.of())) {
      fleet.store().put("op/config", Configs.plain(3));
      for (int i = 1; i <= RUNNERS; i++) {
        fleet.addRunner("i-orders-" + i, "orders", WORK_MILLIS);
      }
      fleet.start();
      for (GatewayProcess gateway : fleet.gateways()) {
        Lab.start(() -> sendAll(record, gateway, count, sentSeconds));
      }
      Random random = new Random(1);
      for (int i = 0; trouble && i < ENTRIES; i++) {
        byte[] value = new byte[VALUE_BYTES];
        random.nextBytes(value);
        fleet.store().put("servers/other-" + i, value);
        Lab.sleep(ENTRY_INTERVAL_MILLIS);
      }
      record.write("entries of another writer: %d", trouble ? ENTRIES : 0);
      Lab.sleep(CALM_MILLIS);
      fleet.store().put("op/config", Configs.plain(7).replace("\"k1\"", "\"k2\""));
      double acknowledged = record.seconds();
      record.write("version 7 without the key k1 is acknowledged");
      Lab.sleep(WATCHED_MILLIS);
      stopped = true;
      Lab.sleep(DEADLINE_MILLIS);
      if (fleet.runs().isEmpty()) {
        throw new Cases.NotRunException("the fleet did not serve");
      }
      Set<String> late = new HashSet<>();
      fleet.runs().stream().map(Runner.Run::attemptId)
          .filter(id -> sentSeconds.get(id) > acknowledged + ALLOWED_SECONDS).forEach(late::add);
      record.write("%d requests sent, %d ran with the key later than %.2f s after", count.get(),
          late.size(), ALLOWED_SECONDS);
      return late.isEmpty();
    }
  }

  private static void sendAll(Record record, GatewayProcess gateway, AtomicInteger count,
      Map<String, Double> sentSeconds) {
    while (!stopped) {
      String attempt = "a" + count.incrementAndGet();
      sentSeconds.put(attempt, record.seconds());
      Lab.start(() -> {
        Caller.Answer answer = Caller.send(gateway.callerAddress(),
            "POST /deposit/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nKey: k1\r\n",
            attempt, DEADLINE_MILLIS);
        record.write("client: %s to %s: %d %s", attempt, gateway.host(), answer.status(),
            answer.ending());
      });
      Lab.sleep(REQUEST_INTERVAL_MILLIS);
    }
  }
}

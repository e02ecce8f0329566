import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request crashes each runner that begins to run it. Its client sends it again every few seconds,
 * and repeats it at once each time. The case fails if it reaches runners more often than the rule
 * allows after it has crashed the third.
 */
final class CrashCase {
  private static final int GATEWAYS = 4;
  private static final int RUNNERS = 10;
  private static final int WORK_MILLIS = 40;

  /**
   * How many copies come at once each time. {@code retry_abuse}, {@code x = 3.0, for_s = 5.5}: in
   * this time the client repeats three more times, at once.
   */
  private static final int[] COPIES = {4, 4, 1, 1};

  private static final int[] PAUSE_MILLIS = {4_500, 6_000, 6_000, 6_000};
  private static final int WARM_UP_MILLIS = 6_000;

  /** The runner is back after some seconds. */
  private static final int BACK_MILLIS = 4_000;

  /** {@code ContactMs} of the deployment. */
  private static final double CONTACT_SECONDS = 3.0;

  private static final int CRASHES = 3;
  private static final int ALLOWED_RETRIES = 3;
  private static final int DEADLINE_MILLIS = 3_000;
  private static final String PATH = "/deposit/crashing";

  private static volatile boolean stopped;

  private CrashCase() {}

  /** Plays the case, and returns whether the rule held. */
  static boolean play(Record record, boolean trouble) throws Exception {
    List<Double> arrivals = new CopyOnWriteArrayList<>();
    List<Double> crashes = new CopyOnWriteArrayList<>();
    AtomicInteger count = new AtomicInteger();
    try (Fleet fleet = new Fleet(record, GATEWAYS, Map.of())) {
      fleet.store().put("op/config", Configs.plain(3));
      for (int i = 0; i < RUNNERS; i++) {
        addRunner(fleet, "i-orders-" + i + "-", 0, record, trouble, arrivals, crashes);
      }
      fleet.start();
      for (int i = 0; i < GATEWAYS; i++) {
        String address = fleet.gateway(i).callerAddress();
        Lab.start(() -> sendOthers(record, address, count));
      }
      Lab.sleep(WARM_UP_MILLIS);
      for (int round = 0; round < COPIES.length; round++) {
        for (int copy = 0; copy < COPIES[round]; copy++) {
          String address = fleet.gateway(copy % GATEWAYS).callerAddress();
          String attempt = "c" + round + "-" + copy;
          Lab.start(() -> send(record, address, PATH, attempt, "crash"));
        }
        Lab.sleep(PAUSE_MILLIS[round]);
      }
      stopped = true;
      Lab.sleep(DEADLINE_MILLIS);
    }
    long retries = crashes.size() < CRASHES ? 0 : arrivals.stream()
        .filter(at -> at > crashes.get(CRASHES - 1) + CONTACT_SECONDS).count();
    record.write("the request crashed %d runners, and reached %d more than %.0f s after the third",
        crashes.size(), retries, CONTACT_SECONDS);
    return retries <= ALLOWED_RETRIES;
  }

  private static void addRunner(Fleet fleet, String prefix, int start, Record record,
      boolean trouble, List<Double> arrivals, List<Double> crashes) throws IOException {
    Runner runner = fleet.addRunner(prefix + start, "orders", WORK_MILLIS);
    runner.crashOn(path -> {
      if (path.equals(PATH)) {
        arrivals.add(record.seconds());
      }
      return trouble && path.equals(PATH);
    }, () -> {
      crashes.add(record.seconds());
      record.write("runner %s crashes", runner.id());
      Lab.start(() -> {
        Lab.sleep(BACK_MILLIS);
        try {
          addRunner(fleet, prefix, start + 1, record, trouble, arrivals, crashes);
        } catch (IOException e) {
          record.write("a runner does not start again: %s", e);
        }
      });
    });
  }

  private static void sendOthers(Record record, String address, AtomicInteger count) {
    while (!stopped) {
      String attempt = "a" + count.incrementAndGet();
      Lab.start(() -> send(record, address, "/deposit/" + attempt, attempt, "x" + attempt));
      Lab.sleep(80);
    }
  }

  private static void send(
      Record record, String address, String path, String attempt, String body) {
    Caller.Answer answer = Caller.send(address,
        "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
            + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nKey: k1\r\n",
        body, DEADLINE_MILLIS);
    record.write("client: %s %s to %s: %d %s", attempt, path, address, answer.status(),
        answer.ending());
  }
}

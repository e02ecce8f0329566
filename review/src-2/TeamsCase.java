import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many tenants have sent a request to each gateway; then one of them sends many times its usual.
 * The case fails if more of its requests run than its quota allows.
 */
final class TeamsCase {
  private static final int TENANTS = 2_500;
  private static final int GATEWAYS = 4;
  private static final int RUNNERS = 4;
  private static final int WORK_MILLIS = 2;
  private static final int SENDERS = 8;

  private static final String HOT = "hot";
  private static final int HOT_TOKENS = 20_000;
  private static final long HOT_MILLIS = 6_500;

  /** The usual of the tenant, at each gateway: about its quota at all of them together. */
  private static final int USUAL_INTERVAL_MILLIS = 300;

  /** {@code hot_tenant}, {@code x = 7.5, for_s = 6.5}. */
  private static final int HOT_INTERVAL_MILLIS = 40;

  /** As long as other nodes that are not heard count. */
  private static final long QUIET_MILLIS = 14_000;

  private static final int WINDOW_SECONDS = 8;
  private static final double OVER = 0.25;
  private static final double SLACK = 140_000;
  private static final int DEADLINE_MILLIS = 3_000;

  private TeamsCase() {}

  /** Plays the case, and returns whether the rule held. */
  static boolean play(Record record, boolean trouble) throws Exception {
    List<Double> hotRuns = new CopyOnWriteArrayList<>();
    try (Fleet fleet = new Fleet(record, GATEWAYS, Map.of())) {
      fleet.store().put("op/config", Configs.plain(3, TENANTS));
      for (int i = 1; i <= RUNNERS; i++) {
        fleet.addRunner("i-orders-" + i, "orders", WORK_MILLIS).crashOn(path -> {
          if (path.contains(HOT)) {
            hotRuns.add(record.seconds());
          }
          return false;
        }, () -> {});
      }
      fleet.start();
      int served = sendOfAllTenants(fleet, record);
      record.write("%d of %d requests of %d tenants served", served, TENANTS * GATEWAYS, TENANTS);
      if (served < TENANTS * GATEWAYS * 0.95) {
        throw new Cases.NotRunException("the fleet did not serve");
      }
      Lab.sleep(QUIET_MILLIS);
      sendOfHotTenant(fleet, record, trouble ? HOT_INTERVAL_MILLIS : USUAL_INTERVAL_MILLIS);
    }
    double allowed = (Configs.QUOTA_TOKENS * WINDOW_SECONDS + Configs.QUOTA_TOKENS) * (1 + OVER)
        + SLACK;
    double most = 0;
    for (double from : hotRuns) {
      most = Math.max(most, HOT_TOKENS * (double) hotRuns.stream()
          .filter(at -> at >= from && at < from + WINDOW_SECONDS).count());
    }
    record.write("most tokens of the tenant in %d s: %.0f, allowed %.0f", WINDOW_SECONDS, most,
        allowed);
    return most <= allowed;
  }

  private static int sendOfAllTenants(Fleet fleet, Record record) throws InterruptedException {
    AtomicInteger served = new AtomicInteger();
    ExecutorService senders = Executors.newFixedThreadPool(SENDERS, Lab::daemon);
    for (int tenant = 1; tenant <= TENANTS; tenant++) {
      for (GatewayProcess gateway : fleet.gateways()) {
        int number = tenant;
        senders.execute(() -> {
          if (send(record, gateway, "usual", "u" + number + "-" + gateway.host(), number, 100)
              == 200) {
            served.incrementAndGet();
          }
        });
      }
    }
    senders.shutdown();
    senders.awaitTermination(60, TimeUnit.SECONDS);
    return served.get();
  }

  private static void sendOfHotTenant(Fleet fleet, Record record, int intervalMillis) {
    long endNanos = System.nanoTime() + HOT_MILLIS * 1_000_000;
    for (int i = 0; System.nanoTime() < endNanos; i++) {
      for (GatewayProcess gateway : fleet.gateways()) {
        String attempt = "h" + i + "-" + gateway.host();
        Lab.start(() -> send(record, gateway, HOT, attempt, 1, HOT_TOKENS));
      }
      Lab.sleep(intervalMillis);
    }
  }

  private static int send(Record record, GatewayProcess gateway, String path, String attempt,
      int tenant, int tokens) {
    Caller.Answer answer = Caller.send(gateway.callerAddress(),
        "POST /deposit/" + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt
            + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nToken-Counts: " + (tokens - 80)
            + ",80\r\nKey: k" + tenant + "\r\n",
        attempt, DEADLINE_MILLIS);
    record.write("client: %s of tenant %d to %s: %d %s", attempt, tenant, gateway.host(),
        answer.status(), answer.ending());
    return answer.status();
  }
}

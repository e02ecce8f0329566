import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each runner that begins to answer it. Compares how often sound
 * requests with the same first part begin before the crashes and later.
 */
final class SharedPartCase {
  private static final int GATEWAYS = 2;
  private static final int RUNNERS = 6;
  private static final long CONTACT_MILLIS = 3_000;
  private static final int LEAST_REQUESTS = 20;

  /** How often the first part is asked for, at either machine in turn. */
  private static final long ROUND_MILLIS = 1_400;

  /** A first part that only some of the requests have. */
  private static final String FIRST_PART = "a1b2c3d4:60";

  private static final String CRASHING_PART = "deadbeef:400";

  private SharedPartCase() {}

  public static void main(String[] args) throws Exception {
    Setup.main(args, SharedPartCase::run);
  }

  /** The fleet of runners; a runner that crashes is back after some seconds. */
  private static final class Runners {
    private final StoreStandIn store;
    private final Record record;
    private final List<RunnerStandIn> all = new CopyOnWriteArrayList<>();
    private final Map<String, Boolean> crashed = new ConcurrentHashMap<>();
    private final AtomicInteger count = new AtomicInteger();
    private volatile long lastCrashNanos;

    private Runners(StoreStandIn store, Record record) {
      this.store = store;
      this.record = record;
    }

    private void start() {
      String id = "i-" + count.incrementAndGet();
      try {
        all.add(
            new RunnerStandIn(id, "assistente", "zone-a", 10, store, record, this::answer));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private void answer(
        RunnerStandIn runner, Http.Head head, byte[] body, OutputStream out)
        throws IOException {
      Threads.sleep(60);
      if (head.header("prompt-prefix").contains(CRASHING_PART)) {
        crash(runner);
        throw new IOException("crashed");
      }
      RunnerStandIn.write(out, RunnerStandIn.streamHead(runner, head));
      for (int i = 1; i <= 5; i++) {
        RunnerStandIn.write(out, RunnerStandIn.event(i, "x"));
        Threads.sleep(15);
      }
      RunnerStandIn.write(out, "0\r\n\r\n");
    }

    private void crash(RunnerStandIn runner) {
      if (crashed.putIfAbsent(runner.id, true) != null) {
        return;
      }
      record.say("runner " + runner.id + " crashes");
      lastCrashNanos = System.nanoTime();
      runner.close();
      Threads.start(
          "restart",
          () -> {
            Threads.sleep(3_000);
            start();
            // The entry of the crashed one lapses after three heartbeats.
            Threads.sleep(600);
            runner.leave();
          });
    }
  }

  /** How many sound requests were sent and how many of them began. */
  private static final class Tally {
    private int sent;
    private int begun;

    private void add(Caller.Answer answer) {
      sent++;
      begun += answer.status() == 200 && answer.body().startsWith("id: 1\n") ? 1 : 0;
    }

    private double share() {
      return (double) begun / sent;
    }

    @Override
    public String toString() {
      return begun + " of " + sent;
    }
  }

  private static boolean run(Record record, Path folder, boolean trouble) throws Exception {
    List<GatewayProcess> gateways = new ArrayList<>();
    try (StoreStandIn store = new StoreStandIn()) {
      store.put(
          "op/config",
          Setup.configuration(
              10,
              List.of(Setup.route("/balcao/", "streaming", "assistente", 1)),
              List.of("assistente"),
              List.of(Setup.tenant("estrela", "k1"), Setup.tenant("lajeado", "k2"))));
      Runners runners = new Runners(store, record);
      for (int i = 0; i < RUNNERS; i++) {
        runners.start();
      }
      List<String> ips = Setup.freeIps(GATEWAYS);
      for (int i = 0; i < GATEWAYS; i++) {
        String address = "127.0.0.1:" + store.address().getPort();
        gateways.add(new GatewayProcess(Setup.root(), folder, i, ips, address));
        gateways.get(i).start();
      }
      for (GatewayProcess gateway : gateways) {
        gateway.awaitReady(15_000);
      }
      Threads.sleep(2_000);
      Caller caller = new Caller(record);
      Tally before = new Tally();
      Tally after = new Tally();
      Tally otherParts = new Tally();
      long startNanos = System.nanoTime();
      int incident = LEAST_REQUESTS + 2;
      for (int round = 0; round < 2 * incident + 6; round++) {
        long atNanos = startNanos + round * ROUND_MILLIS * 1_000_000;
        Threads.sleepUntil(atNanos);
        GatewayProcess gateway = gateways.get(round % GATEWAYS);
        Caller.Answer sound =
            caller.stream(
                gateway, "/balcao/2f", "sound-" + round, "k1", prefix(FIRST_PART, round));
        long crashNanos = runners.lastCrashNanos;
        if (round < incident) {
          before.add(sound);
        } else if (round > incident
            && (!trouble || sound.sentNanos() > crashNanos + 2 * CONTACT_MILLIS * 1_000_000)) {
          after.add(sound);
          otherParts.add(
              caller.stream(
                  gateway, "/balcao/2f", "other-" + round, "k2", prefix("0ff1ce:60", round)));
        }
        if (trouble && round >= incident) {
          // Three in the first round, one in each after that; no two are alike.
          for (int i = 0; i < (round == incident ? 3 : 1); i++) {
            Threads.sleepUntil(atNanos + 150_000_000L + i * 230_000_000L);
            int number = i;
            int at = round;
            Threads.start(
                "crashing",
                () ->
                    caller.stream(
                        gateway,
                        "/balcao/2f",
                        "crashing-" + at + "-" + number,
                        "k1",
                        prefix(FIRST_PART + "," + CRASHING_PART, at * 10 + number)));
          }
        }
      }
      record.say("sound requests with the first part that began, before: " + before);
      record.say("later than 2 x ContactMs after the last crash: " + after);
      record.say("at the same time, with another first part and key: " + otherParts);
      if (before.sent < LEAST_REQUESTS || after.sent < LEAST_REQUESTS) {
        throw new IllegalStateException("too few requests");
      }
      runners.all.forEach(RunnerStandIn::close);
      return after.share() >= before.share() / 2;
    } finally {
      gateways.forEach(GatewayProcess::close);
    }
  }

  private static String prefix(String parts, int number) {
    return "Prompt-Prefix: " + parts + ",e" + Integer.toHexString(4096 + number) + ":40\r\n";
  }
}

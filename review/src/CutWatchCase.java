import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * A runner leaves without draining while the store cuts waiting watches. Counts the requests that
 * reach the runner later than the bound after the store acknowledged the removal of its entry.
 */
final class CutWatchCase {
  private static final int GATEWAYS = 3;
  private static final int RUNNERS = 8;
  private static final long DRAIN_TIMEOUT_MILLIS = 2_000;
  private static final long MARGIN_MILLIS = 50;

  /** How often the store cuts the watches that are waiting. */
  private static final long CUT_INTERVAL_MILLIS = 400;

  private CutWatchCase() {}

  public static void main(String[] args) throws Exception {
    Setup.main(args, CutWatchCase::run);
  }

  private static boolean run(Record record, Path folder, boolean trouble) throws Exception {
    List<GatewayProcess> gateways = new ArrayList<>();
    List<RunnerStandIn> runners = new ArrayList<>();
    Map<String, Long> arrivals = new ConcurrentHashMap<>();
    String leaving = "i-0";
    try (StoreStandIn store = new StoreStandIn()) {
      store.put(
          "op/config",
          Setup.configuration(
              10,
              List.of(Setup.route("/pedido/", "non_idempotent", "balcao-app", 1)),
              List.of("balcao-app"),
              List.of(Setup.tenant("estrela", "k1"))));
      RunnerStandIn.Work sound = RunnerStandIn.plainWork(60);
      for (int i = 0; i < RUNNERS; i++) {
        runners.add(
            new RunnerStandIn(
                "i-" + i,
                "balcao-app",
                "zone-a",
                6,
                store,
                record,
                (runner, head, body, out) -> {
                  if (runner.id.equals(leaving)) {
                    arrivals.put(head.header("attempt-id"), System.nanoTime());
                  }
                  sound.run(runner, head, body, out);
                }));
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
      Threads.sleep(5_000);
      long startNanos = System.nanoTime();
      long endNanos = startNanos + 10_000_000_000L;
      Caller caller = new Caller(record);
      List<Thread> threads = new ArrayList<>();
      for (GatewayProcess gateway : gateways) {
        Thread thread =
            new Thread(
                () -> {
                  for (int i = 0; System.nanoTime() < endNanos; i++) {
                    caller.send(
                        gateway, "POST", "/pedido/2f", gateway.name + "-" + i, "k1", "order");
                    Threads.sleep(20);
                  }
                });
        thread.start();
        threads.add(thread);
      }
      CountDownLatch cuts = new CountDownLatch(5);
      if (trouble) {
        Thread cutter =
            new Thread(
                () -> {
                  while (System.nanoTime() < endNanos) {
                    record.line("store cuts watches: " + store.cutWaitingWatches());
                    cuts.countDown();
                    Threads.sleep(CUT_INTERVAL_MILLIS);
                  }
                });
        cutter.start();
        threads.add(cutter);
      }
      if (trouble) {
        cuts.await();
      } else {
        Threads.sleep(2_000);
      }
      long ackNanos = runners.get(0).leave();
      record.say("runner " + leaving + ": entry removed, acknowledged");
      for (Thread thread : threads) {
        thread.join();
      }
      long boundNanos = ackNanos + (DRAIN_TIMEOUT_MILLIS + MARGIN_MILLIS) * 1_000_000;
      List<Map.Entry<String, Long>> late =
          arrivals.entrySet().stream().filter(entry -> entry.getValue() > boundNanos).toList();
      record.say(
          "requests at the runner: " + arrivals.size() + ", later than the bound: " + late.size());
      for (Map.Entry<String, Long> entry : late) {
        record.line(
            "BROKEN: "
                + entry.getKey()
                + " reached "
                + leaving
                + " "
                + (entry.getValue() - ackNanos) / 1_000_000
                + " ms after the acknowledgement");
      }
      return late.isEmpty();
    } finally {
      gateways.forEach(GatewayProcess::close);
      runners.forEach(RunnerStandIn::close);
    }
  }
}

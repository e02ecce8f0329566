import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: a store, runners and gateways, which all end with it. */
final class Fleet implements AutoCloseable {
  private static final int READY_TIMEOUT_MILLIS = 20_000;
  private static final int SETTLE_MILLIS = 1_500;
  private static final int STORE_PORT = 8225;
  private static final int STORE_HOST = 250;
  private static final int FIRST_RUNNER_HOST = 100;

  private final String subnet;
  private final Path directory;
  private final Store store;
  private final Record record;
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private final List<Runner> runners = new ArrayList<>();
  private final List<Runner.Run> runs = new ArrayList<>();

  Fleet(Record record, int gatewayCount, Map<String, String> settings) throws IOException {
    this.record = record;
    subnet = Lab.freeSubnet(gatewayCount);
    directory = Files.createTempDirectory("review");
    store = new Store(subnet + STORE_HOST, STORE_PORT);
    List<String> seeds = new ArrayList<>();
    for (int i = 1; i <= Math.min(3, gatewayCount); i++) {
      seeds.add(subnet + i);
    }
    for (int i = 1; i <= gatewayCount; i++) {
      gateways.add(new GatewayProcess(directory, subnet + i, "zone-" + i % 2, seeds,
          subnet + STORE_HOST + ":" + STORE_PORT, settings));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  Store store() {
    return store;
  }

  GatewayProcess gateway(int index) {
    return gateways.get(index);
  }

  List<GatewayProcess> gateways() {
    return gateways;
  }

  synchronized Runner addRunner(String id, String service, long workMillis) throws IOException {
    Runner runner = new Runner(id, service, "zone-" + runners.size() % 2,
        subnet + (FIRST_RUNNER_HOST + runners.size()), workMillis, store, this::began);
    runners.add(runner);
    return runner;
  }

  private void began(Runner.Run run) {
    synchronized (runs) {
      runs.add(run);
    }
    record.write("runner %s (%s) runs %s %s", run.runnerId(), run.service(), run.attemptId(),
        run.path());
  }

  /** Returns all requests that began to run. */
  List<Runner.Run> runs() {
    synchronized (runs) {
      return List.copyOf(runs);
    }
  }

  /** Starts all gateways and waits until they are ready. */
  void start() throws IOException, Cases.NotRunException {
    for (GatewayProcess gateway : gateways) {
      gateway.start();
    }
    long endNanos = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000L;
    for (GatewayProcess gateway : gateways) {
      while (!isReady(gateway)) {
        if (System.nanoTime() > endNanos) {
          throw new Cases.NotRunException(gateway.host() + " is not ready");
        }
        Lab.sleep(100);
      }
    }
    Lab.sleep(SETTLE_MILLIS);
  }

  static boolean isReady(GatewayProcess gateway) {
    return Caller.send(gateway.host() + ":8224", "GET /ready HTTP/1.1\r\nHost: ready\r\n", "", 1_000)
        .status() == 200;
  }

  private void endProcesses() {
    for (GatewayProcess gateway : gateways) {
      gateway.close();
    }
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // The folder stays in the temporary folder.
    }
  }

  @Override
  public void close() throws IOException {
    for (Runner runner : runners) {
      runner.close();
    }
    store.close();
    endProcesses();
  }
}

package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

/** The processes and stand-ins of one run, and its record. */
final class Lab implements AutoCloseable {
  static final long HEARTBEAT_MILLIS = 1_200;

  private final Path root = Path.of("").toAbsolutePath();
  private final Path folder;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final StoreStandIn store = new StoreStandIn();
  private final List<RunnerStandIn> runners = new CopyOnWriteArrayList<>();
  private final List<GatewayProcess> gateways = new CopyOnWriteArrayList<>();
  private final List<StoreStandIn.Door> doors = new ArrayList<>();
  private final GatewayProcess.Ports ports = GatewayProcess.Ports.free();
  private final int subnet = 16 + (int) (ProcessHandle.current().pid() % 200);
  private volatile boolean closed;

  Lab(Path recordFile) throws IOException {
    folder = Files.createTempDirectory("review-3-");
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    Threads.start("heartbeats", this::beat);
    // The processes must not outlive a run that is ended by a signal.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> gateways.forEach(GatewayProcess::close)));
  }

  /** Returns whether the disruption is left out. */
  static boolean isUndisturbed() {
    return "0".equals(System.getenv("TROUBLE"));
  }

  StoreStandIn store() {
    return store;
  }

  StoreStandIn.Door door(int gateway) {
    return doors.get(gateway);
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  /** Writes a line with the time in seconds. */
  synchronized void log(String text) {
    record.println(String.format(Locale.ROOT, "%8.3f %s", millis() / 1e3, text));
  }

  RunnerStandIn runner(String id, String service, int slots, RunnerStandIn.Handler handler)
      throws IOException {
    RunnerStandIn runner =
        new RunnerStandIn(id, service, slots, InetAddress.getByName("127.0.0.1"), handler);
    store.put("servers/" + id, runner.entry());
    runners.add(runner);
    return runner;
  }

  /** Ends the heartbeats of a runner. */
  void forget(RunnerStandIn runner) {
    runners.remove(runner);
  }

  /** Has each runner write its entry once in an interval, one after the other. */
  private void beat() {
    while (!closed) {
      for (RunnerStandIn runner : runners) {
        Threads.sleep(HEARTBEAT_MILLIS / Math.max(1, runners.size()));
        if (runners.contains(runner)) {
          store.put("servers/" + runner.id(), runner.entry());
        }
      }
      Threads.sleep(1);
    }
  }

  /** Adds a gateway, which is not started, at an address of its own. */
  GatewayProcess gateway() throws IOException {
    int number = gateways.size() + 1;
    StoreStandIn.Door door = store.open(InetAddress.getByName("127.0.0.1"));
    doors.add(door);
    List<String> seeds = List.of("127." + subnet + ".0.1", "127." + subnet + ".0.2");
    GatewayProcess gateway =
        new GatewayProcess(
            root,
            folder,
            "gateway-" + number,
            "127." + subnet + ".0." + number,
            ports,
            door.port(),
            seeds);
    gateways.add(gateway);
    return gateway;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    for (GatewayProcess gateway : gateways) {
      gateway.close();
    }
    for (RunnerStandIn runner : runners) {
      runner.close();
    }
    store.close();
    record.close();
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    } else {
      System.out.println("kept " + folder);
    }
  }
}

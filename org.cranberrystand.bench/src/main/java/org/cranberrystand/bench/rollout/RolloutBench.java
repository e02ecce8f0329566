package org.cranberrystand.bench.rollout;

import com.sun.management.OperatingSystemMXBean;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.cranberrystand.bench.report.Measure;
import org.cranberrystand.fake.FakePlatform;

/** Runs the scenarios of the rollout benchmark and collects the measures. Not thread-safe. */
final class RolloutBench {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Duration CUT = Duration.ofSeconds(12);

  /** Records that changed at the start are passed on for 15 s; the cost counts from then on. */
  private static final Duration SETTLING = Duration.ofSeconds(16);

  /** 17,000 changes a day are one in 5.08 s. */
  private static final Duration CHANGE_PERIOD = Duration.ofMillis(5_080);

  private static final int COST_CHANGES = 4;
  private static final double BYTES_BOUND = 13_312;
  private static final double CPU_BOUND = 0.039;
  private static final double HEAP_BOUND_MB = 32;
  private static final double LOSS = 0.1;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BYTES_PER_MB = 1 << 20;
  private static final int LARGE = 64;

  private final PrintWriter out;
  private final int rollouts;
  private final Random random = new Random(5);
  private final List<Measure> measures = new ArrayList<>();
  private final OperatingSystemMXBean system =
      (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
  private double reverts;

  RolloutBench(PrintWriter out, int rollouts) {
    this.out = out;
    this.rollouts = rollouts;
  }

  List<Measure> run(List<Integer> costSizes, List<Integer> rolloutSizes) throws Exception {
    for (int size : costSizes) {
      double boundSeconds = size < LARGE ? 5 : 14;
      double heapBefore = liveHeapMegabytes();
      try (RolloutFleet fleet = new RolloutFleet(size, domains(size))) {
        boolean last = size == Collections.max(costSizes);
        measureCost(fleet, size, last, heapBefore);
        if (rolloutSizes.contains(size)) {
          measureRollouts(fleet, size, boundSeconds);
        }
        reverts += fleet.reverts();
      }
    }
    measures.add(Measure.atMost("reverts", reverts, 0));
    return measures;
  }

  /** Measures bytes, messages, processor time and memory while the bundle changes as designed. */
  private void measureCost(RolloutFleet fleet, int size, boolean bounded, double heapBefore)
      throws Exception {
    Thread.sleep(SETTLING.toMillis());
    long start = System.nanoTime();
    long bytes = fleet.controlBytes();
    long messages = fleet.controlMessages();
    long calls = fleet.configCalls();
    long cpu = javaThreadNanos();
    long processCpu = system.getProcessCpuTime();
    for (int i = 0; i < COST_CHANGES; i++) {
      fleet.publishNext();
      Thread.sleep(CHANGE_PERIOD.toMillis());
    }
    double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
    double cpuFraction = (javaThreadNanos() - cpu) / NANOS_PER_SECOND / seconds / size;
    double processFraction =
        (system.getProcessCpuTime() - processCpu) / NANOS_PER_SECOND / seconds / size;
    double bytesPerSecond = (fleet.controlBytes() - bytes) / seconds / size;
    double callsPerChange = (fleet.configCalls() - calls) / (double) COST_CHANGES;
    double heap = (liveHeapMegabytes() - heapBefore) / size;
    out.printf(
        "%3d nodes: %.0f bytes/s, %.2f messages/s, %.4f of a core"
            + " (%.4f with compiler and collector), %.2f MB live heap per node;"
            + " %.1f service calls per change%n",
        size,
        bytesPerSecond,
        (fleet.controlMessages() - messages) / seconds / size,
        cpuFraction,
        processFraction,
        heap,
        callsPerChange);
    String suffix = bounded ? "" : "_" + size;
    measures.add(Measure.atMost("control_bytes_per_s" + suffix, bytesPerSecond, BYTES_BOUND));
    measures.add(Measure.atMost("control_cpu_fraction" + suffix, cpuFraction, CPU_BOUND));
    measures.add(Measure.atMost("control_live_heap_mb" + suffix, heap, HEAP_BOUND_MB));
    measures.add(
        Measure.atMost("service_calls_per_change" + suffix, callsPerChange, callsBound(size)));
  }

  /** Each watcher makes one call per change; a node's slow polls add 0.11 calls, at most 0.25. */
  private static double callsBound(int size) {
    return 2 * domains(size) + size / 4.0;
  }

  private static int domains(int size) {
    return size < LARGE ? 4 : 7;
  }

  private void measureRollouts(RolloutFleet fleet, int size, double bound) throws Exception {
    List<Double> published = new ArrayList<>();
    for (int i = 0; i < rollouts; i++) {
      Thread.sleep(random.nextInt(1_500));
      fleet.publishNext();
      published.addAll(fleet.awaitInForce(TIMEOUT, fleet.fleet().nodes()));
    }
    report("rollout_max_s_" + size, "published", published, bound);
    report("rollout_down_max_s_" + size, "service down, pushed", whileDown(fleet), bound);
    report("rollout_loss_max_s_" + size, "10% of messages lost", withLoss(fleet), bound);
    report("rollout_healed_max_s_" + size, "after a cut", afterCut(fleet), bound);
  }

  private List<Double> whileDown(RolloutFleet fleet) throws Exception {
    List<Double> seconds = new ArrayList<>();
    fleet.fleet().platforms().forEach(p -> p.setDown(true));
    for (int i = 0; i < rollouts; i++) {
      Thread.sleep(random.nextInt(1_500));
      fleet.pushNext();
      seconds.addAll(fleet.awaitInForce(TIMEOUT, fleet.fleet().nodes()));
    }
    fleet.fleet().platforms().forEach(p -> p.setDown(false));
    return seconds;
  }

  private List<Double> withLoss(RolloutFleet fleet) throws Exception {
    List<Double> seconds = new ArrayList<>();
    fleet.fleet().faults().setLossProbability(LOSS);
    for (int i = 0; i < rollouts; i++) {
      Thread.sleep(random.nextInt(1_500));
      fleet.publishNext();
      seconds.addAll(fleet.awaitInForce(TIMEOUT, fleet.fleet().nodes()));
    }
    fleet.fleet().faults().setLossProbability(0);
    return seconds;
  }

  /** Cuts the first failure domain off from peers and platform; times the rest and the return. */
  private List<Double> afterCut(RolloutFleet fleet) throws Exception {
    FakePlatform platform = fleet.fleet().platforms().get(0);
    platform.setDown(true);
    fleet
        .fleet()
        .faults()
        .cutOff(fleet.nodes(true).stream().map(n -> n.state().settings().node()).toList());
    fleet.publishNext();
    List<Double> others = fleet.awaitInForce(TIMEOUT, fleet.nodes(false));
    out.printf("    other domains during the cut: max %.3f s%n", Collections.max(others));
    Thread.sleep(CUT.toMillis());
    platform.setDown(false);
    fleet.fleet().faults().cutOff(List.of());
    return fleet.awaitInForce(TIMEOUT, fleet.fleet().nodes());
  }

  private void report(String name, String scenario, List<Double> seconds, double bound) {
    List<Double> sorted = new ArrayList<>(seconds);
    Collections.sort(sorted);
    double max = sorted.get(sorted.size() - 1);
    out.printf(
        "    %-22s p50 %.3f s  p99 %.3f s  max %.3f s%n",
        scenario, quantile(sorted, 0.5), quantile(sorted, 0.99), max);
    out.flush();
    measures.add(Measure.atMost(name, max, bound));
  }

  private static double quantile(List<Double> sorted, double q) {
    return sorted.get((int) Math.ceil(q * sorted.size()) - 1);
  }

  /**
   * Returns the processor time of all Java threads, those of the fakes included.
   *
   * <p>The compiler is left out: it takes most of the time of a young process and ends later.
   */
  private static long javaThreadNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : threads.getAllThreadIds()) {
      sum += Math.max(0, threads.getThreadCpuTime(id));
    }
    return sum;
  }

  private static double liveHeapMegabytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / BYTES_PER_MB;
  }
}

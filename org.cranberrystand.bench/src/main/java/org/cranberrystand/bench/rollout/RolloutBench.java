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

/** Runs the scenarios of the rollout benchmark and collects its measures. Not thread-safe. */
final class RolloutBench {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Duration PARTITION_DURATION = Duration.ofSeconds(12);

  /** Nodes gossip records that changed at startup for 15 s, which is not part of the cost. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(16);

  /** The design expects 17,000 changes a day, one in 5.08 s. */
  private static final Duration CHANGE_PERIOD = Duration.ofMillis(5_080);

  private static final int MEASURED_CHANGES = 4;
  private static final double MAX_CONTROL_BYTES_PER_SECOND = 13_312;
  private static final double MAX_CPU_FRACTION = 0.039;
  private static final double MAX_HEAP_MEGABYTES = 32;
  private static final double LOSS_PROBABILITY = 0.1;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BYTES_PER_MB = 1 << 20;
  private static final int LARGE_FLEET_NODES = 64;

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
      double boundSeconds = size < LARGE_FLEET_NODES ? 5 : 14;
      double heapBeforeMegabytes = liveHeapMegabytes();
      try (RolloutFleet fleet = new RolloutFleet(size, failureDomains(size))) {
        boolean largestSize = size == Collections.max(costSizes);
        measureCost(fleet, size, largestSize, heapBeforeMegabytes);
        if (rolloutSizes.contains(size)) {
          measureRollouts(fleet, size, boundSeconds);
        }
        reverts += fleet.revertCount();
      }
    }
    measures.add(Measure.atMost("reverts", reverts, 0));
    return measures;
  }

  /** Measures control cost and memory per node while the bundle changes at the planned rate. */
  private void measureCost(
      RolloutFleet fleet, int size, boolean largestSize, double heapBeforeMegabytes)
      throws Exception {
    Thread.sleep(SETTLING_TIME.toMillis());
    long startNanos = System.nanoTime();
    long startBytes = fleet.controlBytes();
    long startMessages = fleet.controlMessages();
    long startCalls = fleet.configCalls();
    long startCpuNanos = javaThreadNanos();
    long startProcessCpuNanos = system.getProcessCpuTime();
    for (int i = 0; i < MEASURED_CHANGES; i++) {
      fleet.publishNext();
      Thread.sleep(CHANGE_PERIOD.toMillis());
    }
    double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    double cpuFraction = (javaThreadNanos() - startCpuNanos) / NANOS_PER_SECOND / seconds / size;
    double processFraction =
        (system.getProcessCpuTime() - startProcessCpuNanos) / NANOS_PER_SECOND / seconds / size;
    double bytesPerSecond = (fleet.controlBytes() - startBytes) / seconds / size;
    double callsPerChange = (fleet.configCalls() - startCalls) / (double) MEASURED_CHANGES;
    double heapMegabytes = (liveHeapMegabytes() - heapBeforeMegabytes) / size;
    out.printf(
        "%3d nodes: %.0f bytes/s, %.2f messages/s, %.4f of a core"
            + " (%.4f with compiler and collector), %.2f MB live heap per node;"
            + " %.1f service calls per change%n",
        size,
        bytesPerSecond,
        (fleet.controlMessages() - startMessages) / seconds / size,
        cpuFraction,
        processFraction,
        heapMegabytes,
        callsPerChange);
    String suffix = largestSize ? "" : "_" + size;
    measures.add(
        Measure.atMost(
            "control_bytes_per_s" + suffix, bytesPerSecond, MAX_CONTROL_BYTES_PER_SECOND));
    measures.add(Measure.atMost("control_cpu_fraction" + suffix, cpuFraction, MAX_CPU_FRACTION));
    measures.add(
        Measure.atMost("control_live_heap_mb" + suffix, heapMegabytes, MAX_HEAP_MEGABYTES));
    measures.add(
        Measure.atMost(
            "service_calls_per_change" + suffix, callsPerChange, maxCallsPerChange(size)));
  }

  /**
   * Each watcher makes one call per change; the slow polls of a node add 0.11 calls, at most 0.25.
   */
  private static double maxCallsPerChange(int size) {
    return 2 * failureDomains(size) + size / 4.0;
  }

  private static int failureDomains(int size) {
    return size < LARGE_FLEET_NODES ? 4 : 7;
  }

  private void measureRollouts(RolloutFleet fleet, int size, double boundSeconds) throws Exception {
    List<Double> published = new ArrayList<>();
    for (int i = 0; i < rollouts; i++) {
      Thread.sleep(random.nextInt(1_500));
      fleet.publishNext();
      published.addAll(fleet.awaitInForce(TIMEOUT, fleet.fleet().nodes()));
    }
    report("rollout_max_s_" + size, "published", published, boundSeconds);
    report(
        "rollout_down_max_s_" + size,
        "service down, pushed",
        timeWhileServiceDown(fleet),
        boundSeconds);
    report(
        "rollout_loss_max_s_" + size,
        "10% of messages lost",
        timeWithMessageLoss(fleet),
        boundSeconds);
    report(
        "rollout_healed_max_s_" + size,
        "after a partition",
        timeAfterPartition(fleet),
        boundSeconds);
  }

  private List<Double> timeWhileServiceDown(RolloutFleet fleet) throws Exception {
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

  private List<Double> timeWithMessageLoss(RolloutFleet fleet) throws Exception {
    List<Double> seconds = new ArrayList<>();
    fleet.fleet().faults().setLossProbability(LOSS_PROBABILITY);
    for (int i = 0; i < rollouts; i++) {
      Thread.sleep(random.nextInt(1_500));
      fleet.publishNext();
      seconds.addAll(fleet.awaitInForce(TIMEOUT, fleet.fleet().nodes()));
    }
    fleet.fleet().faults().setLossProbability(0);
    return seconds;
  }

  /**
   * Partitions the first failure domain from peers and platform, and times the rollout in the other
   * domains and in all domains after the partition.
   */
  private List<Double> timeAfterPartition(RolloutFleet fleet) throws Exception {
    FakePlatform platform = fleet.fleet().platforms().get(0);
    platform.setDown(true);
    fleet
        .fleet()
        .faults()
        .partition(
            fleet.nodesInFirstDomain(true).stream().map(n -> n.state().settings().node()).toList());
    fleet.publishNext();
    List<Double> others = fleet.awaitInForce(TIMEOUT, fleet.nodesInFirstDomain(false));
    out.printf("    other domains during the partition: max %.3f s%n", Collections.max(others));
    Thread.sleep(PARTITION_DURATION.toMillis());
    platform.setDown(false);
    fleet.fleet().faults().partition(List.of());
    return fleet.awaitInForce(TIMEOUT, fleet.fleet().nodes());
  }

  private void report(String name, String scenario, List<Double> seconds, double boundSeconds) {
    List<Double> sorted = new ArrayList<>(seconds);
    Collections.sort(sorted);
    double max = sorted.get(sorted.size() - 1);
    out.printf(
        "    %-22s p50 %.3f s  p99 %.3f s  max %.3f s%n",
        scenario, quantile(sorted, 0.5), quantile(sorted, 0.99), max);
    out.flush();
    measures.add(Measure.atMost(name, max, boundSeconds));
  }

  private static double quantile(List<Double> sorted, double q) {
    return sorted.get((int) Math.ceil(q * sorted.size()) - 1);
  }

  /**
   * Returns the processor time of all Java threads, including those of the fakes.
   *
   * <p>Excludes the JIT compiler, which uses most of the processor time of a young process and is
   * idle later.
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

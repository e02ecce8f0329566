package org.cranberrystand.bench.policy;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cranberrystand.bench.policy.Scenario.Disturbance;
import org.cranberrystand.bench.policy.Scenario.Times;
import org.cranberrystand.bench.report.Measure;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.upstream.LoadReport;

/** One run of one policy: sets up the simulation, runs it and records its results. */
final class Run {
  /** Name of the node under test. */
  static final String LOCAL_NODE = "node-1";

  /** Delay of load reports from upstreams and peers. */
  static final long PROPAGATION_DELAY_NANOS = Duration.ofSeconds(1).toNanos();

  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long TICK_INTERVAL_NANOS = Duration.ofMillis(100).toNanos();
  private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();
  private static final long CACHE_EVENT_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();
  private static final int MIN_CACHE_EVENT_DELAY_MILLIS = 300;
  private static final int MAX_CACHE_EVENT_DELAY_MILLIS = 1_200;
  private static final double CACHE_EVENT_LOSS_PROBABILITY = 0.03;
  private static final long ADMITTED_SAMPLE_INTERVAL_NANOS = Duration.ofMillis(50).toNanos();
  private static final int STEADY_STATE_SECONDS = 2;
  private static final double SLOWDOWN_FACTOR = 10;
  private static final int MAX_DRAIN_SECONDS = 120;

  private final Workload workload;
  private final Scenario scenario;
  private final Simulation simulation = new Simulation();
  private final List<SimRequest> requests;
  private final SplittableRandom random;
  private final Map<String, Boolean> cacheEventGaps = new HashMap<>();
  private final Map<String, Long> lastCacheDeliveryNanos = new HashMap<>();
  private final Map<String, Long> maxAdmittedTokensByUpstream = new HashMap<>();
  private final List<EngineSecond> engineSeconds = new ArrayList<>();
  private DispatchPolicy policy;
  private String slowedEngine = "";

  /**
   * Total state of all engines at the end of one second.
   *
   * @param sequences the running and waiting requests
   * @param admittedTokens the cost of these requests in tokens
   * @param windowSequences the sum of the engine windows of the production scheduler, or 0 for
   *     other policies
   */
  record EngineSecond(int sequences, long admittedTokens, double windowSequences) {}

  private Run(Workload workload, Scenario scenario, long seed) {
    this.workload = workload;
    this.scenario = scenario;
    this.requests = ArrivalGenerator.generate(workload, scenario, seed);
    this.random = new SplittableRandom(seed);
  }

  /**
   * Simulates a policy until all accepted requests have ended, but no longer than {@link
   * #MAX_DRAIN_SECONDS} after the last arrivals.
   */
  static Run simulate(Workload workload, Scenario scenario, long seed, PolicyFactory factory) {
    Run run = new Run(workload, scenario, seed);
    run.execute(factory);
    return run;
  }

  Workload workload() {
    return workload;
  }

  Scenario scenario() {
    return scenario;
  }

  List<SimRequest> requests() {
    return requests;
  }

  Simulation simulation() {
    return simulation;
  }

  /** Returns the name of the slowed engine, or an empty string if there is none. */
  String slowedEngine() {
    return slowedEngine;
  }

  /** Returns the state of the engines at the end of each second. */
  List<EngineSecond> engineSeconds() {
    return engineSeconds;
  }

  /**
   * Returns the largest cost in tokens of the requests at one engine at a time, from the start of
   * sampling on.
   */
  long maxAdmittedTokens(String engine) {
    return maxAdmittedTokensByUpstream.getOrDefault(engine, 0L);
  }

  private void execute(PolicyFactory factory) {
    var directory = workload.createUpstreams(simulation);
    policy = factory.create(simulation);
    simulation.setPolicy(policy);
    simulation.handleEvent(new SchedulerEvent.BundleChanged(workload.bundle(), 0));
    simulation.handleEvent(new SchedulerEvent.DirectoryChanged(directory, 0));
    if (scenario.disturbance() != Disturbance.PEER_LOST) {
      simulation.handleEvent(new SchedulerEvent.PeersChanged(LOCAL_NODE, ImmutableList.of(), 0));
    }
    for (SimRequest request : requests) {
      simulation.scheduleAt(request.item.arrivalNanos(), () -> simulation.submit(request));
    }
    schedulePeriodically(
        TICK_INTERVAL_NANOS,
        () -> simulation.handleEvent(new SchedulerEvent.Tick(simulation.nowNanos())));
    for (SimUpstream upstream : simulation.upstreams()) {
      schedulePeriodically(REPORT_INTERVAL_NANOS, () -> reportLoad(upstream));
      schedulePeriodically(CACHE_EVENT_INTERVAL_NANOS, () -> reportCacheChanges(upstream));
    }
    schedulePeriodically(SECOND_NANOS, this::sampleEngines);
    long warmNanos = Times.nanos(scenario.times().warm());
    simulation.scheduleAt(
        admittedSamplingStartNanos(),
        () -> schedulePeriodically(ADMITTED_SAMPLE_INTERVAL_NANOS, this::sampleAdmittedTokens));
    simulation.scheduleAt(warmNanos, simulation.tokenGapsMicros()::reset);
    scheduleDisturbance();
    runUntilDrained();
  }

  private void runUntilDrained() {
    int end = scenario.times().end();
    simulation.runUntil(Times.nanos(end));
    for (int i = 1; i <= MAX_DRAIN_SECONDS && hasUnfinishedRequests(); i++) {
      simulation.runUntil(Times.nanos(end + i));
    }
  }

  private boolean hasUnfinishedRequests() {
    return requests.stream().anyMatch(r -> r.finishNanos < 0 && r.rejectNanos < 0 && !r.handedOver);
  }

  private void schedulePeriodically(long periodNanos, Runnable task) {
    simulation.scheduleAfter(
        periodNanos,
        () -> {
          task.run();
          schedulePeriodically(periodNanos, task);
        });
  }

  private void reportLoad(SimUpstream upstream) {
    LoadReport report = upstream.loadReport(simulation.nowNanos());
    String name = upstream.record().name();
    simulation.scheduleAfter(
        PROPAGATION_DELAY_NANOS,
        () ->
            simulation.handleEvent(
                new SchedulerEvent.LoadReported(name, report, simulation.nowNanos())));
  }

  private void reportCacheChanges(SimUpstream upstream) {
    String name = upstream.record().name();
    PrefixCache.Changes changes = upstream.takeCacheChanges();
    boolean lost = random.nextDouble() < CACHE_EVENT_LOSS_PROBABILITY;
    int delayMillis = random.nextInt(MIN_CACHE_EVENT_DELAY_MILLIS, MAX_CACHE_EVENT_DELAY_MILLIS);
    if (changes.isEmpty()) {
      return;
    }
    if (lost) {
      cacheEventGaps.put(name, true);
      return;
    }
    boolean gap = Boolean.TRUE.equals(cacheEventGaps.remove(name));
    long deliveryNanos = simulation.nowNanos() + Duration.ofMillis(delayMillis).toNanos();
    deliveryNanos = Math.max(deliveryNanos, lastCacheDeliveryNanos.getOrDefault(name, 0L));
    lastCacheDeliveryNanos.put(name, deliveryNanos);
    simulation.scheduleAt(
        deliveryNanos,
        () ->
            simulation.handleEvent(
                new SchedulerEvent.CacheReported(
                    name, changes.stored(), changes.evicted(), gap, simulation.nowNanos())));
  }

  /**
   * Returns when sampling of admitted tokens starts: after the warm-up, or shortly before a peer is
   * lost, when the fleet has reached a steady state.
   */
  private long admittedSamplingStartNanos() {
    Times times = scenario.times();
    boolean peers = scenario.disturbance() == Disturbance.PEER_LOST;
    return Times.nanos(peers ? times.start() - STEADY_STATE_SECONDS : times.warm());
  }

  private void sampleAdmittedTokens() {
    for (SimUpstream upstream : simulation.upstreams()) {
      maxAdmittedTokensByUpstream.merge(
          upstream.record().name(), upstream.admittedTokens(), Math::max);
    }
  }

  private void sampleEngines() {
    int sequences = 0;
    long tokens = 0;
    for (SimUpstream upstream : simulation.upstreams()) {
      if (upstream instanceof SimEngine engine) {
        sequences += engine.sequenceCount();
        tokens += engine.admittedTokens();
      }
    }
    double window = 0;
    if (policy instanceof Scheduler scheduler) {
      window =
          scheduler.statistics(simulation.nowNanos()).upstreams().stream()
              .filter(u -> u.pool().equals(Workload.MODEL_POOL))
              .mapToDouble(u -> u.windowSequences())
              .sum();
    }
    engineSeconds.add(new EngineSecond(sequences, tokens, Measure.round(window)));
  }

  /**
   * Slows the engine that got the most work.
   *
   * <p>Any other engine might be idle, so its share could not fall.
   */
  private void slowBusiestEngine() {
    double from = scenario.times().warm();
    double to = scenario.times().start();
    for (SimUpstream upstream : simulation.upstreams()) {
      String name = upstream.record().name();
      if (slowedEngine.isEmpty()
          || RunStatistics.dispatchShare(this, name, from, to)
              > RunStatistics.dispatchShare(this, slowedEngine, from, to)) {
        slowedEngine = name;
      }
    }
    simulation.upstream(slowedEngine).slowDown(SLOWDOWN_FACTOR);
  }

  private void scheduleDisturbance() {
    Times times = scenario.times();
    if (scenario.disturbance() == Disturbance.SLOW_ENGINE) {
      simulation.scheduleAt(Times.nanos(times.start()), this::slowBusiestEngine);
    } else if (scenario.disturbance() == Disturbance.PEER_LOST) {
      SimulatedPeers peers = new SimulatedPeers(workload, simulation, requests);
      schedulePeriodically(REPORT_INTERVAL_NANOS, peers::publishLoads);
      peers.publishLoads();
      simulation.scheduleAt(Times.nanos(times.start()), peers::removePeer);
    }
  }
}

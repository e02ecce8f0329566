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

/** One run of one policy: builds the simulation, feeds it and keeps what was seen. */
final class Run {
  /** Name of the node that is measured. */
  static final String NODE = "node-1";

  /** Time by which load reports and the views of other nodes lag. */
  static final long VIEW_LAG_NANOS = Duration.ofSeconds(1).toNanos();

  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long TICK_NANOS = Duration.ofMillis(100).toNanos();
  private static final long REPORT_NANOS = Duration.ofMillis(250).toNanos();
  private static final long CACHE_EVENT_NANOS = Duration.ofMillis(500).toNanos();
  private static final int CACHE_DELAY_MIN_MILLIS = 300;
  private static final int CACHE_DELAY_MAX_MILLIS = 1_200;
  private static final double CACHE_LOSS = 0.03;
  private static final long SAMPLE_NANOS = Duration.ofMillis(50).toNanos();
  private static final int STEADY_SECONDS = 2;
  private static final double SLOW_FACTOR = 10;
  private static final int DRAIN_SECONDS = 120;

  private final Workload workload;
  private final Scenario scenario;
  private final Simulation simulation = new Simulation();
  private final List<SimRequest> requests;
  private final SplittableRandom random;
  private final Map<String, Boolean> gaps = new HashMap<>();
  private final Map<String, Long> nextCacheDelivery = new HashMap<>();
  private final Map<String, Long> maxAdmitted = new HashMap<>();
  private final List<EngineSecond> engineSeconds = new ArrayList<>();
  private DispatchPolicy policy;
  private String slowedEngine = "";

  /**
   * State of all engines at one time.
   *
   * @param sequences requests at the engines
   * @param admittedTokens their cost
   * @param windowSequences the sum of the windows of the product's policy, or 0 for others
   */
  record EngineSecond(int sequences, long admittedTokens, double windowSequences) {}

  private Run(Workload workload, Scenario scenario, long seed) {
    this.workload = workload;
    this.scenario = scenario;
    this.requests = ArrivalGenerator.generate(workload, scenario, seed);
    this.random = new SplittableRandom(seed);
  }

  /** Runs a policy to the end of all accepted work. */
  static Run of(Workload workload, Scenario scenario, long seed, PolicyFactory factory) {
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

  /** Returns the name of the engine that became slow, or an empty string for none. */
  String slowedEngine() {
    return slowedEngine;
  }

  /** Returns the state of the engines at the end of each second. */
  List<EngineSecond> engineSeconds() {
    return engineSeconds;
  }

  /** Returns the largest cost in tokens admitted by an engine at once after the warm-up. */
  long maxAdmittedTokens(String engine) {
    return maxAdmitted.getOrDefault(engine, 0L);
  }

  private void execute(PolicyFactory factory) {
    var directory = workload.createUpstreams(simulation);
    policy = factory.create(simulation);
    simulation.policy(policy);
    simulation.feed(new SchedulerEvent.BundleChanged(workload.bundle(), 0));
    simulation.feed(new SchedulerEvent.DirectoryChanged(directory, 0));
    if (scenario.disturbance() != Disturbance.PEER_LOST) {
      simulation.feed(new SchedulerEvent.PeersChanged(NODE, ImmutableList.of(), 0));
    }
    for (SimRequest request : requests) {
      simulation.at(request.item.arrivalNanos(), () -> simulation.submit(request));
    }
    every(TICK_NANOS, () -> simulation.feed(new SchedulerEvent.Tick(simulation.nowNanos())));
    for (SimUpstream upstream : simulation.upstreams()) {
      every(REPORT_NANOS, () -> reportLoad(upstream));
      every(CACHE_EVENT_NANOS, () -> reportCache(upstream));
    }
    every(SECOND_NANOS, this::sampleEngines);
    long warm = Times.nanos(scenario.times().warm());
    simulation.at(admittedFromNanos(), () -> every(SAMPLE_NANOS, this::sampleAdmitted));
    simulation.at(warm, simulation.tokenGaps()::reset);
    scheduleDisturbance();
    runToEnd();
  }

  private void runToEnd() {
    int end = scenario.times().end();
    simulation.runUntil(Times.nanos(end));
    for (int i = 1; i <= DRAIN_SECONDS && anyOpen(); i++) {
      simulation.runUntil(Times.nanos(end + i));
    }
  }

  private boolean anyOpen() {
    return requests.stream().anyMatch(r -> r.finishNanos < 0 && r.rejectNanos < 0 && !r.handedOver);
  }

  private void every(long periodNanos, Runnable task) {
    simulation.after(
        periodNanos,
        () -> {
          task.run();
          every(periodNanos, task);
        });
  }

  private void reportLoad(SimUpstream upstream) {
    LoadReport report = upstream.loadReport(simulation.nowNanos());
    String name = upstream.record().name();
    simulation.after(
        VIEW_LAG_NANOS,
        () ->
            simulation.feed(new SchedulerEvent.LoadReported(name, report, simulation.nowNanos())));
  }

  private void reportCache(SimUpstream upstream) {
    String name = upstream.record().name();
    PrefixCache.Changes changes = upstream.takeCacheChanges();
    boolean lost = random.nextDouble() < CACHE_LOSS;
    int delayMillis = random.nextInt(CACHE_DELAY_MIN_MILLIS, CACHE_DELAY_MAX_MILLIS);
    if (changes.isEmpty()) {
      return;
    }
    if (lost) {
      gaps.put(name, true);
      return;
    }
    boolean gap = Boolean.TRUE.equals(gaps.remove(name));
    long at = simulation.nowNanos() + Duration.ofMillis(delayMillis).toNanos();
    at = Math.max(at, nextCacheDelivery.getOrDefault(name, 0L));
    nextCacheDelivery.put(name, at);
    simulation.at(
        at,
        () ->
            simulation.feed(
                new SchedulerEvent.CacheReported(
                    name, changes.stored(), changes.evicted(), gap, simulation.nowNanos())));
  }

  /** Returns when admitted work counts: the fleet is in a steady state before a peer is lost. */
  private long admittedFromNanos() {
    Times times = scenario.times();
    boolean peers = scenario.disturbance() == Disturbance.PEER_LOST;
    return Times.nanos(peers ? times.start() - STEADY_SECONDS : times.warm());
  }

  private void sampleAdmitted() {
    for (SimUpstream upstream : simulation.upstreams()) {
      maxAdmitted.merge(upstream.record().name(), upstream.admittedTokens(), Math::max);
    }
  }

  private void sampleEngines() {
    int sequences = 0;
    long tokens = 0;
    for (SimUpstream upstream : simulation.upstreams()) {
      if (upstream instanceof SimEngine engine) {
        sequences += engine.sequences();
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

  /** Slows the engine that got most work; another one might be idle, which has no share to lose. */
  private void slowBusiestEngine() {
    double from = scenario.times().warm();
    double to = scenario.times().start();
    for (SimUpstream upstream : simulation.upstreams()) {
      String name = upstream.record().name();
      if (slowedEngine.isEmpty()
          || RunFigures.dispatchShare(this, name, from, to)
              > RunFigures.dispatchShare(this, slowedEngine, from, to)) {
        slowedEngine = name;
      }
    }
    simulation.upstream(slowedEngine).slowDown(SLOW_FACTOR);
  }

  private void scheduleDisturbance() {
    Times times = scenario.times();
    if (scenario.disturbance() == Disturbance.SLOW_ENGINE) {
      simulation.at(Times.nanos(times.start()), this::slowBusiestEngine);
    } else if (scenario.disturbance() == Disturbance.PEER_LOST) {
      MirroredPeers peers = new MirroredPeers(workload, simulation, requests);
      every(REPORT_NANOS, peers::publish);
      peers.publish();
      simulation.at(Times.nanos(times.start()), peers::loseOne);
    }
  }
}

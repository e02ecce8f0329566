package org.cranberrystand.bench.policy;

import static org.cranberrystand.bench.policy.RunStatistics.arrivedIn;
import static org.cranberrystand.bench.policy.RunStatistics.costTokens;
import static org.cranberrystand.bench.policy.RunStatistics.dispatchedIn;
import static org.cranberrystand.bench.policy.RunStatistics.ofTier;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.bench.policy.Scenario.Disturbance;
import org.cranberrystand.bench.policy.Scenario.Times;
import org.cranberrystand.bundle.Tier;

/** Runs one policy in all scenarios with one workload and one seed, and computes the measures. */
final class Evaluation {
  private static final double RECOVERY_WINDOW_SECONDS = 5;
  private static final double MAX_RECOVERED_LATENCY_FACTOR = 1.2;
  private static final double SCAN_STEP_SECONDS = 0.1;
  private static final double SHIFT_WINDOW_SECONDS = 3;
  private static final double MAX_SHIFTED_SHARE_FACTOR = 0.2;

  private final Workload workload;
  private final Times times;
  private final long seed;
  private final PolicyFactory factory;
  private final Map<PolicyMeasure, Double> values = new EnumMap<>(PolicyMeasure.class);
  private final List<SimRequest> acceptedLongRequests = new ArrayList<>();
  private final List<Timeline> timelines = new ArrayList<>();
  private int priorityInversions;

  private Evaluation(Workload workload, Times times, long seed, PolicyFactory factory) {
    this.workload = workload;
    this.times = times;
    this.seed = seed;
    this.factory = factory;
  }

  /** Runs all scenarios and returns the values of all measures. */
  static Evaluation evaluate(Workload workload, Times times, long seed, PolicyFactory factory) {
    Evaluation evaluation = new Evaluation(workload, times, seed, factory);
    evaluation.evaluateLoadAndFloods();
    evaluation.evaluateTeamsAndPeers();
    evaluation.evaluateSlowEngine();
    evaluation.values.put(
        PolicyMeasure.URGENT_SHED_WHILE_LOWER_KEPT, (double) evaluation.priorityInversions);
    evaluation.values.put(
        PolicyMeasure.LONG_FINISHED,
        RunStatistics.longFinishedFraction(evaluation.acceptedLongRequests));
    return evaluation;
  }

  Map<PolicyMeasure, Double> values() {
    return values;
  }

  List<Timeline> timelines() {
    return timelines;
  }

  private Run run(Scenario scenario) {
    Run run = Run.simulate(workload, scenario, seed, factory);
    priorityInversions += run.simulation().priorityInversionNanos().size();
    run.requests().stream()
        .filter(r -> r.spec.isLong() && r.dispatchNanos >= 0)
        .forEach(acceptedLongRequests::add);
    timelines.add(Timeline.of(run, seed));
    return run;
  }

  private void evaluateLoadAndFloods() {
    Run planned = run(Scenario.planned(workload, times));
    values.put(
        PolicyMeasure.FIRST_TOKEN_P95_S,
        RunStatistics.firstTokenP95Seconds(arrivedIn(planned, times.warm(), times.end())));
    values.put(PolicyMeasure.TOKEN_GAP_P95_MS, tokenGapP95Millis(planned));
    evaluateWastedPrefill(planned);
    Run lowFlood = run(Scenario.lowFlood(workload, times));
    values.put(
        PolicyMeasure.URGENT_GOODPUT_LOW_FLOOD,
        (double) countUrgentInTime(lowFlood) / countUrgentInTime(planned));
    Run urgentFlood = run(Scenario.urgentFlood(workload, times));
    values.put(PolicyMeasure.URGENT_GOODPUT_URGENT_FLOOD, urgentFloodGoodput(urgentFlood));
    values.put(
        PolicyMeasure.OTHER_WORK_KEPT,
        minGuaranteedShareRatio(run(Scenario.lastingUrgentFlood(workload, times))));
    values.put(
        PolicyMeasure.RECOVERY_S,
        Math.max(recoverySeconds(lowFlood, planned), recoverySeconds(urgentFlood, planned)));
  }

  private static double tokenGapP95Millis(Run run) {
    return run.simulation().tokenGapsMicros().getValueAtPercentile(95) / 1e3;
  }

  private void evaluateWastedPrefill(Run planned) {
    Scenario scenario = planned.scenario();
    Run oracle = Run.simulate(workload, scenario, seed, OraclePolicy::new);
    Run leastLoad = Run.simulate(workload, scenario, seed, s -> new LeastReportedLoadPolicy());
    values.put(PolicyMeasure.WASTED_PREFILL, recomputedTokenRatio(planned, oracle));
    values.put(
        PolicyMeasure.WASTED_PREFILL_VS_LEAST_LOAD, recomputedTokenRatio(planned, leastLoad));
  }

  private static double recomputedTokenRatio(Run run, Run reference) {
    long recomputedTokens = run.simulation().recomputedTokens();
    return (double) recomputedTokens / Math.max(1, reference.simulation().recomputedTokens());
  }

  private long countUrgentInTime(Run run) {
    return RunStatistics.countInTime(
        arrivedIn(run, times.start(), times.stop()).filter(ofTier(Tier.URGENT)));
  }

  private double urgentFloodGoodput(Run run) {
    KindSpec urgent = workload.modelKind(Tier.URGENT);
    double capacityRequests =
        workload.capacityRequestsPerSecond(urgent)
            * urgentEngineTimeShare()
            * (times.stop() - times.start());
    return countUrgentInTime(run) / capacityRequests;
  }

  /**
   * Returns the fraction of engine time that remains for urgent work when every other tier uses its
   * guaranteed share of tokens, or its offered load if that is less.
   */
  private double urgentEngineTimeShare() {
    Map<Tier, Double> secondsPerToken = new EnumMap<>(Tier.class);
    double urgentTokenShare = 1;
    for (KindSpec kind : workload.modelKinds()) {
      Tier tier = kind.kind().tier();
      urgentTokenShare -= tier == Tier.URGENT ? 0 : workload.guaranteedShare(tier);
      secondsPerToken.put(tier, 1 / workload.capacityTokensPerSecond(kind));
    }
    double meanSecondsPerToken = 0;
    for (KindSpec kind : workload.modelKinds()) {
      Tier tier = kind.kind().tier();
      double share = tier == Tier.URGENT ? urgentTokenShare : workload.guaranteedShare(tier);
      meanSecondsPerToken += share * secondsPerToken.get(tier);
    }
    double urgentTimeShare = 1;
    for (KindSpec kind : workload.modelKinds()) {
      Tier tier = kind.kind().tier();
      if (tier != Tier.URGENT) {
        double guaranteedTimeShare =
            workload.guaranteedShare(tier) * secondsPerToken.get(tier) / meanSecondsPerToken;
        urgentTimeShare -= Math.min(guaranteedTimeShare, Scenario.PLANNED_LOAD * kind.loadShare());
      }
    }
    return urgentTimeShare;
  }

  /** Returns the lowest ratio of served to guaranteed tokens among the tiers below urgent. */
  private double minGuaranteedShareRatio(Run run) {
    double allTokens = costTokens(dispatchedIn(run, times.start(), times.stop()));
    double minRatio = Double.MAX_VALUE;
    for (KindSpec kind : workload.modelKinds()) {
      Tier tier = kind.kind().tier();
      if (tier != Tier.URGENT) {
        double servedTokens =
            costTokens(dispatchedIn(run, times.start(), times.stop()).filter(ofTier(tier)));
        double guaranteedTokens = workload.guaranteedShare(tier) * allTokens;
        minRatio = Math.min(minRatio, servedTokens / guaranteedTokens);
      }
    }
    return minRatio;
  }

  /**
   * Returns the time from the end of a flood until urgent requests get their first token nearly as
   * fast as at the planned load.
   */
  private double recoverySeconds(Run flood, Run planned) {
    double lastSeconds = times.end() - RECOVERY_WINDOW_SECONDS;
    for (double atSeconds = times.stop();
        atSeconds <= lastSeconds;
        atSeconds += SCAN_STEP_SECONDS) {
      if (urgentFirstTokenP95Seconds(flood, atSeconds)
          <= MAX_RECOVERED_LATENCY_FACTOR * urgentFirstTokenP95Seconds(planned, atSeconds)) {
        return atSeconds - times.stop();
      }
    }
    return RunStatistics.NEVER_SECONDS;
  }

  private static double urgentFirstTokenP95Seconds(Run run, double atSeconds) {
    return RunStatistics.firstTokenP95Seconds(
        arrivedIn(run, atSeconds, atSeconds + RECOVERY_WINDOW_SECONDS).filter(ofTier(Tier.URGENT)));
  }

  private void evaluateTeamsAndPeers() {
    Run alone = run(Scenario.smallAlone(workload, times));
    Run besideLarge = run(Scenario.smallBesideLarge(workload, times));
    values.put(
        PolicyMeasure.SMALL_TEAM_GOODPUT,
        (double) countSmallTeamsInTime(besideLarge) / countSmallTeamsInTime(alone));
    values.put(PolicyMeasure.JAIN_INDEX, jainIndex(run(Scenario.backlogged(workload, times))));
    Run withoutPeers = run(Scenario.urgentOnly(workload, times, Disturbance.NONE));
    Run withPeers = run(Scenario.urgentOnly(workload, times, Disturbance.PEER_LOST));
    values.put(PolicyMeasure.ENGINE_OVERCOMMIT, maxOvercommitRatio(withPeers, withoutPeers));
  }

  private long countSmallTeamsInTime(Run run) {
    return workload.teams().stream()
        .filter(team -> !team.isLarge())
        .mapToLong(
            team ->
                RunStatistics.countInTime(
                    arrivedIn(run, times.warm(), run.scenario().times().end())
                        .filter(r -> r.item.team().equals(team.name()))))
        .sum();
  }

  private double jainIndex(Run run) {
    Map<String, Long> tokens =
        RunStatistics.dispatchedTokensByTeam(run, times.warm(), run.scenario().times().end());
    return RunStatistics.jainIndex(
        workload.teams().stream()
            .mapToDouble(team -> tokens.getOrDefault(team.name(), 0L) / team.weight())
            .toArray());
  }

  /** Returns the highest ratio of tokens admitted by an engine with peers and without. */
  private static double maxOvercommitRatio(Run withPeers, Run withoutPeers) {
    return withoutPeers.simulation().upstreams().stream()
        .filter(SimEngine.class::isInstance)
        .map(engine -> engine.record().name())
        .filter(engine -> withoutPeers.maxAdmittedTokens(engine) > 0)
        .mapToDouble(
            engine ->
                (double) withPeers.maxAdmittedTokens(engine)
                    / withoutPeers.maxAdmittedTokens(engine))
        .max()
        .orElse(0);
  }

  private void evaluateSlowEngine() {
    Run run = run(Scenario.slowEngine(workload, times));
    double shareBefore =
        RunStatistics.dispatchShare(run, run.slowedEngine(), times.warm(), times.start());
    double shiftSeconds = RunStatistics.NEVER_SECONDS;
    double lastSeconds = times.stop() - SHIFT_WINDOW_SECONDS;
    for (double atSeconds = times.start();
        atSeconds <= lastSeconds;
        atSeconds += SCAN_STEP_SECONDS) {
      if (slowEngineShare(run, atSeconds, 1) < MAX_SHIFTED_SHARE_FACTOR * shareBefore
          && slowEngineShare(run, atSeconds, SHIFT_WINDOW_SECONDS)
              < MAX_SHIFTED_SHARE_FACTOR * shareBefore) {
        shiftSeconds = atSeconds - times.start();
        break;
      }
    }
    values.put(PolicyMeasure.SLOW_ENGINE_SHIFT_S, shiftSeconds);
  }

  private static double slowEngineShare(Run run, double atSeconds, double seconds) {
    return RunStatistics.dispatchShare(run, run.slowedEngine(), atSeconds, atSeconds + seconds);
  }
}

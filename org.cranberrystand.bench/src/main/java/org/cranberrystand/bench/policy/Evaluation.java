package org.cranberrystand.bench.policy;

import static org.cranberrystand.bench.policy.RunFigures.arrivedIn;
import static org.cranberrystand.bench.policy.RunFigures.dispatchedIn;
import static org.cranberrystand.bench.policy.RunFigures.ofTier;
import static org.cranberrystand.bench.policy.RunFigures.tokens;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.bench.policy.Scenario.Disturbance;
import org.cranberrystand.bench.policy.Scenario.Times;
import org.cranberrystand.bundle.Tier;

/** Runs all scenarios of one policy with one workload and one seed and computes its measures. */
final class Evaluation {
  private static final double RECOVERY_WINDOW_SECONDS = 5;
  private static final double RECOVERY_FACTOR = 1.2;
  private static final double STEP_SECONDS = 0.1;
  private static final double SHIFT_WINDOW_SECONDS = 3;
  private static final double SHIFTED_SHARE = 0.2;

  private final Workload workload;
  private final Times times;
  private final long seed;
  private final PolicyFactory factory;
  private final Map<PolicyMeasure, Double> values = new EnumMap<>(PolicyMeasure.class);
  private final List<SimRequest> acceptedLong = new ArrayList<>();
  private final List<Timeline> timelines = new ArrayList<>();
  private int violations;

  private Evaluation(Workload workload, Times times, long seed, PolicyFactory factory) {
    this.workload = workload;
    this.times = times;
    this.seed = seed;
    this.factory = factory;
  }

  /** Runs all scenarios. */
  static Evaluation of(Workload workload, Times times, long seed, PolicyFactory factory) {
    Evaluation evaluation = new Evaluation(workload, times, seed, factory);
    evaluation.evaluateLoad();
    evaluation.evaluateTeams();
    evaluation.evaluateSlowEngine();
    evaluation.values.put(
        PolicyMeasure.URGENT_SHED_WHILE_LOWER_KEPT, (double) evaluation.violations);
    evaluation.values.put(
        PolicyMeasure.LONG_FINISHED, RunFigures.longFinished(evaluation.acceptedLong));
    return evaluation;
  }

  Map<PolicyMeasure, Double> values() {
    return values;
  }

  List<Timeline> timelines() {
    return timelines;
  }

  private Run run(Scenario scenario) {
    Run run = Run.of(workload, scenario, seed, factory);
    violations += run.simulation().violationNanos().size();
    run.requests().stream()
        .filter(r -> r.spec.isLong() && r.dispatchNanos >= 0)
        .forEach(acceptedLong::add);
    timelines.add(Timeline.of(run, seed));
    return run;
  }

  private void evaluateLoad() {
    Run planned = run(Scenario.planned(workload, times));
    values.put(
        PolicyMeasure.FIRST_TOKEN_P95_S,
        RunFigures.firstTokenP95(arrivedIn(planned, times.warm(), times.end())));
    values.put(PolicyMeasure.TOKEN_GAP_P95_MS, tokenGapMillis(planned));
    evaluateWaste(planned);
    Run low = run(Scenario.lowFlood(workload, times));
    values.put(
        PolicyMeasure.URGENT_GOODPUT_LOW_FLOOD, (double) urgentInTime(low) / urgentInTime(planned));
    Run urgent = run(Scenario.urgentFlood(workload, times));
    values.put(PolicyMeasure.URGENT_GOODPUT_URGENT_FLOOD, urgentFloodGoodput(urgent));
    values.put(
        PolicyMeasure.OTHER_WORK_KEPT,
        otherWorkKept(run(Scenario.lastingUrgentFlood(workload, times))));
    values.put(
        PolicyMeasure.RECOVERY_S,
        Math.max(recoverySeconds(low, planned), recoverySeconds(urgent, planned)));
  }

  private static double tokenGapMillis(Run run) {
    return run.simulation().tokenGaps().getValueAtPercentile(95) / 1e3;
  }

  private void evaluateWaste(Run planned) {
    Scenario scenario = planned.scenario();
    Run allSeeing = Run.of(workload, scenario, seed, AllSeeingPolicy::new);
    Run leastLoad = Run.of(workload, scenario, seed, s -> new LeastReportedLoadPolicy());
    values.put(PolicyMeasure.WASTED_PREFILL, wasteRatio(planned, allSeeing));
    values.put(PolicyMeasure.WASTED_PREFILL_VS_LEAST_LOAD, wasteRatio(planned, leastLoad));
  }

  private static double wasteRatio(Run run, Run reference) {
    long own = run.simulation().recomputedTokens();
    return (double) own / Math.max(1, reference.simulation().recomputedTokens());
  }

  private long urgentInTime(Run run) {
    return RunFigures.inTime(
        arrivedIn(run, times.start(), times.stop()).filter(ofTier(Tier.URGENT)));
  }

  private double urgentFloodGoodput(Run run) {
    KindSpec urgent = workload.modelKind(Tier.URGENT);
    double possible =
        workload.capacityPerSecond(urgent) * urgentEngineShare() * (times.stop() - times.start());
    return urgentInTime(run) / possible;
  }

  /**
   * Returns the share of engine time left for urgent work when every other tier gets its guaranteed
   * share of tokens, or all that it offers if that is less.
   */
  private double urgentEngineShare() {
    Map<Tier, Double> secondsPerToken = new EnumMap<>(Tier.class);
    double urgentShare = 1;
    for (KindSpec kind : workload.modelKinds()) {
      Tier tier = kind.kind().tier();
      urgentShare -= tier == Tier.URGENT ? 0 : workload.guaranteedShare(tier);
      secondsPerToken.put(tier, 1 / workload.capacityTokensPerSecond(kind));
    }
    double sum = 0;
    for (KindSpec kind : workload.modelKinds()) {
      Tier tier = kind.kind().tier();
      double share = tier == Tier.URGENT ? urgentShare : workload.guaranteedShare(tier);
      sum += share * secondsPerToken.get(tier);
    }
    double left = 1;
    for (KindSpec kind : workload.modelKinds()) {
      Tier tier = kind.kind().tier();
      if (tier != Tier.URGENT) {
        double guaranteed = workload.guaranteedShare(tier) * secondsPerToken.get(tier) / sum;
        left -= Math.min(guaranteed, Scenario.PLANNED_LOAD * kind.loadShare());
      }
    }
    return left;
  }

  private double otherWorkKept(Run run) {
    double all = tokens(dispatchedIn(run, times.start(), times.stop()));
    double worst = Double.MAX_VALUE;
    for (KindSpec kind : workload.modelKinds()) {
      Tier tier = kind.kind().tier();
      if (tier != Tier.URGENT) {
        double served = tokens(dispatchedIn(run, times.start(), times.stop()).filter(ofTier(tier)));
        double due = workload.guaranteedShare(tier) * all;
        worst = Math.min(worst, served / due);
      }
    }
    return worst;
  }

  private double recoverySeconds(Run flood, Run planned) {
    double last = times.end() - RECOVERY_WINDOW_SECONDS;
    for (double at = times.stop(); at <= last; at += STEP_SECONDS) {
      if (urgentP95(flood, at) <= RECOVERY_FACTOR * urgentP95(planned, at)) {
        return at - times.stop();
      }
    }
    return RunFigures.NEVER_SECONDS;
  }

  private static double urgentP95(Run run, double at) {
    return RunFigures.firstTokenP95(
        arrivedIn(run, at, at + RECOVERY_WINDOW_SECONDS).filter(ofTier(Tier.URGENT)));
  }

  private void evaluateTeams() {
    Run alone = run(Scenario.smallAlone(workload, times));
    Run beside = run(Scenario.smallBesideLarge(workload, times));
    values.put(PolicyMeasure.SMALL_TEAM_GOODPUT, (double) smallInTime(beside) / smallInTime(alone));
    values.put(PolicyMeasure.JAIN_INDEX, jainIndex(run(Scenario.backlogged(workload, times))));
    Run single = run(Scenario.urgentOnly(workload, times, Disturbance.NONE));
    Run peers = run(Scenario.urgentOnly(workload, times, Disturbance.PEER_LOST));
    values.put(PolicyMeasure.ENGINE_OVERCOMMIT, overcommit(peers, single));
  }

  private long smallInTime(Run run) {
    return workload.teams().stream()
        .filter(team -> !team.isLarge())
        .mapToLong(
            team ->
                RunFigures.inTime(
                    arrivedIn(run, times.warm(), run.scenario().times().end())
                        .filter(r -> r.item.team().equals(team.name()))))
        .sum();
  }

  private double jainIndex(Run run) {
    Map<String, Long> tokens =
        RunFigures.tokensByTeam(run, times.warm(), run.scenario().times().end());
    return RunFigures.jainIndex(
        workload.teams().stream()
            .mapToDouble(team -> tokens.getOrDefault(team.name(), 0L) / team.weight())
            .toArray());
  }

  private static double overcommit(Run peers, Run alone) {
    return alone.simulation().upstreams().stream()
        .filter(SimEngine.class::isInstance)
        .map(engine -> engine.record().name())
        .filter(engine -> alone.maxAdmittedTokens(engine) > 0)
        .mapToDouble(
            engine -> (double) peers.maxAdmittedTokens(engine) / alone.maxAdmittedTokens(engine))
        .max()
        .orElse(0);
  }

  private void evaluateSlowEngine() {
    Run run = run(Scenario.slowEngine(workload, times));
    double before = RunFigures.dispatchShare(run, run.slowedEngine(), times.warm(), times.start());
    double shift = RunFigures.NEVER_SECONDS;
    double last = times.stop() - SHIFT_WINDOW_SECONDS;
    for (double at = times.start(); at <= last; at += STEP_SECONDS) {
      if (slowShare(run, at, 1) < SHIFTED_SHARE * before
          && slowShare(run, at, SHIFT_WINDOW_SECONDS) < SHIFTED_SHARE * before) {
        shift = at - times.start();
        break;
      }
    }
    values.put(PolicyMeasure.SLOW_ENGINE_SHIFT_S, shift);
  }

  private static double slowShare(Run run, double at, double seconds) {
    return RunFigures.dispatchShare(run, run.slowedEngine(), at, at + seconds);
  }
}

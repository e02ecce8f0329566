package org.cranberrystand.bench.policy;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrystand.bench.policy.Scenario.Times;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.wire.Json;

/**
 * Timeline of one run: outcomes by second of arrival and the state of the engines.
 *
 * @param workload the workload
 * @param scenario the scenario
 * @param seed the seed
 * @param times the times of the run
 * @param tiers the outcomes of each tier by second of arrival
 * @param engines the state of the engines at the end of each second
 * @param teamTokens the tokens dispatched after the warm-up by team, divided by its weight
 */
record Timeline(
    String workload,
    String scenario,
    long seed,
    Times times,
    ImmutableMap<Tier, ImmutableList<Second>> tiers,
    ImmutableList<Run.EngineSecond> engines,
    ImmutableMap<String, Double> teamTokens) {

  /**
   * Outcomes of the model requests that arrived in one second.
   *
   * @param arrived all requests
   * @param inTime requests that finished and got their first token by the deadline
   * @param late requests that finished, but got their first token after the deadline
   * @param rejected requests that the policy rejected
   * @param firstTokenP95 the 95th percentile of the time to first token in seconds
   */
  record Second(int arrived, int inTime, int late, int rejected, double firstTokenP95) {}

  static Timeline of(Run run, long seed) {
    Times times = run.scenario().times();
    Map<Tier, ImmutableList<Second>> tiers = new EnumMap<>(Tier.class);
    for (Tier tier : Tier.values()) {
      ImmutableList.Builder<Second> seconds = ImmutableList.builder();
      for (int second = 0; second < times.end(); second++) {
        seconds.add(second(run, tier, second));
      }
      tiers.put(tier, seconds.build());
    }
    Map<String, Double> tokensPerWeight = new TreeMap<>();
    Map<String, Long> tokens = RunStatistics.dispatchedTokensByTeam(run, times.warm(), times.end());
    run.workload()
        .teams()
        .forEach(
            t -> tokensPerWeight.put(t.name(), tokens.getOrDefault(t.name(), 0L) / t.weight()));
    return new Timeline(
        run.workload().name(),
        run.scenario().name(),
        seed,
        times,
        ImmutableMap.copyOf(tiers),
        ImmutableList.copyOf(run.engineSeconds()),
        ImmutableMap.copyOf(tokensPerWeight));
  }

  private static Second second(Run run, Tier tier, int second) {
    var requests =
        RunStatistics.arrivedIn(run, second, second + 1)
            .filter(RunStatistics.ofTier(tier))
            .toList();
    int inTime = (int) RunStatistics.countInTime(requests.stream());
    int rejected = (int) requests.stream().filter(r -> r.rejectNanos >= 0).count();
    int finished = (int) requests.stream().filter(SimRequest::isFinished).count();
    double p95 =
        RunStatistics.firstTokenP95Seconds(requests.stream().filter(r -> r.firstTokenNanos >= 0));
    return new Second(requests.size(), inTime, finished - inTime, rejected, p95);
  }

  ObjectNode toJson() {
    ObjectNode node = Json.MAPPER.createObjectNode();
    node.put("workload", workload).put("scenario", scenario).put("seed", seed);
    node.put("warmSeconds", times.warm()).put("startSeconds", times.start());
    node.put("stopSeconds", times.stop()).put("endSeconds", times.end());
    tiers.forEach(
        (tier, seconds) -> {
          ArrayNode array = node.putArray(tier.label());
          seconds.forEach(array::addPOJO);
        });
    ArrayNode rows = node.putArray("engines");
    engines.forEach(rows::addPOJO);
    ObjectNode teams = node.putObject("teamTokensPerWeight");
    teamTokens.forEach(teams::put);
    return node;
  }
}

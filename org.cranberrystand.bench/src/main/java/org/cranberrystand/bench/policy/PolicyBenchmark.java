package org.cranberrystand.bench.policy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.bench.policy.Scenario.Times;
import org.cranberrystand.bench.report.Measure;

/**
 * Evaluates policies over all workloads and seeds.
 *
 * <p>The result of a measure is its worst value over workloads and seeds.
 */
final class PolicyBenchmark {
  private final Times times;
  private final ImmutableList<Long> seeds;

  /** Combination of a policy, a workload and a seed. */
  record Cell(NamedPolicy policy, Workload workload, long seed) {}

  /**
   * Results of one cell.
   *
   * @param cell the cell
   * @param values the value of each measure
   * @param timelines the timeline of each run
   */
  record CellResult(
      Cell cell, ImmutableMap<PolicyMeasure, Double> values, ImmutableList<Timeline> timelines) {}

  PolicyBenchmark(Times times, List<Long> seeds) {
    this.times = times;
    this.seeds = ImmutableList.copyOf(seeds);
  }

  /** Evaluates all cells in parallel and returns the results ordered by policy, workload, seed. */
  List<CellResult> evaluate(List<NamedPolicy> policies) {
    List<Cell> cells = new ArrayList<>();
    for (NamedPolicy policy : policies) {
      for (Workload workload : Workloads.all()) {
        for (long seed : seeds) {
          cells.add(new Cell(policy, workload, seed));
        }
      }
    }
    return cells.parallelStream().map(this::evaluate).toList();
  }

  private CellResult evaluate(Cell cell) {
    Evaluation evaluation =
        Evaluation.evaluate(cell.workload(), times, cell.seed(), cell.policy().factory());
    return new CellResult(
        cell,
        ImmutableMap.copyOf(evaluation.values()),
        ImmutableList.copyOf(evaluation.timelines()));
  }

  /** Returns the worst value of each measure over all cells, by policy. */
  static Map<String, List<Measure>> worstByPolicy(List<CellResult> results) {
    Map<String, Map<PolicyMeasure, Double>> worstValuesByPolicy = new LinkedHashMap<>();
    for (CellResult result : results) {
      Map<PolicyMeasure, Double> values =
          worstValuesByPolicy.computeIfAbsent(
              result.cell().policy().name(), name -> new EnumMap<>(PolicyMeasure.class));
      result
          .values()
          .forEach((measure, value) -> values.merge(measure, value, measure.direction()::worse));
    }
    Map<String, List<Measure>> measures = new LinkedHashMap<>();
    worstValuesByPolicy.forEach(
        (name, values) ->
            measures.put(
                name,
                values.entrySet().stream()
                    .map(entry -> entry.getKey().toMeasure(entry.getValue()))
                    .toList()));
    return measures;
  }
}

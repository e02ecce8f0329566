package org.cranberrystand.bench.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cranberrystand.bench.policy.PolicyBenchmark.CellResult;
import org.cranberrystand.bench.report.Measure;
import org.cranberrystand.bench.report.MeasureReport;
import org.cranberrystand.wire.Json;

/** Report of the policy benchmark as tables and JSON. */
final class PolicyReport {
  private final List<CellResult> results;
  private final Map<String, List<Measure>> worstByPolicy;
  private final String mainPolicy;

  PolicyReport(List<CellResult> results, String mainPolicy) {
    this.results = results;
    this.worstByPolicy = PolicyBenchmark.worstByPolicy(results);
    this.mainPolicy = mainPolicy;
  }

  /** Returns the measures of the main policy. */
  List<Measure> measures() {
    return worstByPolicy.get(mainPolicy);
  }

  /** Returns one measure of one policy. */
  Measure measure(String policy, PolicyMeasure measure) {
    return worstByPolicy.get(policy).stream()
        .filter(m -> m.name().equals(measure.label()))
        .findFirst()
        .orElseThrow();
  }

  /** Returns a text table for each policy. */
  String tables() {
    StringBuilder text = new StringBuilder();
    worstByPolicy.forEach(
        (name, measures) -> text.append(MeasureReport.toTable(name, measures)).append('\n'));
    return text.toString();
  }

  /** Returns the report as JSON. The bytes depend only on the seeds, policies and times. */
  byte[] toJson() {
    ObjectNode root = Json.MAPPER.createObjectNode();
    root.set("measures", MeasureReport.toJson(measures()));
    ObjectNode others = root.putObject("otherPolicies");
    worstByPolicy.forEach(
        (name, measures) -> {
          if (!name.equals(mainPolicy)) {
            others.set(name, MeasureReport.toJson(measures));
          }
        });
    addCells(root.putArray("cells"));
    addTimelines(root.putArray("timelines"));
    try {
      String text = Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(root);
      return (text + "\n").getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void addCells(ArrayNode cells) {
    for (CellResult result : results) {
      ObjectNode cell = cells.addObject();
      cell.put("policy", result.cell().policy().name());
      cell.put("workload", result.cell().workload().name());
      cell.put("seed", result.cell().seed());
      List<Measure> measures = new ArrayList<>();
      result.values().forEach((measure, value) -> measures.add(measure.toMeasure(value)));
      measures.forEach(measure -> cell.put(measure.name(), measure.value()));
    }
  }

  private void addTimelines(ArrayNode timelines) {
    results.stream()
        .filter(r -> r.cell().policy().name().equals(mainPolicy))
        .flatMap(r -> r.timelines().stream())
        .forEach(timeline -> timelines.add(timeline.toJson()));
  }
}

package org.cranberrystand.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.wire.Json;

/**
 * Costs per unit of state and per node, read from the results of the other benchmarks.
 *
 * @param teamRetainedBytes retained bytes per active team
 * @param engineRetainedBytes retained bytes per upstream in use
 * @param queuedRetainedBytes retained bytes per queued request
 * @param prefixBlockRetainedBytes retained bytes per prefix block
 * @param ledgerRetainedBytes retained bytes per claimed identifier
 * @param memberRetainedBytes retained bytes per member record
 * @param controlBytesPerSecond control bytes per second and node, by the number of nodes
 * @param controlCoreFraction fraction of a core per node for control, by the number of nodes
 * @param fleetSizes the fleet sizes of the measurements
 */
public record MeasuredCosts(
    double teamRetainedBytes,
    double engineRetainedBytes,
    double queuedRetainedBytes,
    double prefixBlockRetainedBytes,
    double ledgerRetainedBytes,
    double memberRetainedBytes,
    LinearFit controlBytesPerSecond,
    LinearFit controlCoreFraction,
    List<Integer> fleetSizes) {
  private static final int[] FLEET_SIZES = {8, 16, 32, 64};

  /**
   * Reads the result files.
   *
   * @param state the file written by {@code bench state}
   * @param rollout the file written by {@code bench rollout}
   * @return the costs
   * @throws IOException if a file cannot be read or lacks a value
   */
  public static MeasuredCosts read(Path state, Path rollout) throws IOException {
    JsonNode bytes = Json.readTree(Files.readAllBytes(state)).path("retainedBytes");
    JsonNode measures = Json.readTree(Files.readAllBytes(rollout)).path("measures");
    List<Integer> sizes = new ArrayList<>();
    List<LinearFit.Point> trafficPoints = new ArrayList<>();
    List<LinearFit.Point> corePoints = new ArrayList<>();
    for (int size : FLEET_SIZES) {
      sizes.add(size);
      trafficPoints.add(new LinearFit.Point(size, measure(measures, "control_bytes_per_s", size)));
      corePoints.add(new LinearFit.Point(size, measure(measures, "control_cpu_fraction", size)));
    }
    return new MeasuredCosts(
        value(bytes, "active_team"),
        value(bytes, "engine"),
        value(bytes, "queued_request"),
        value(bytes, "prefix_block"),
        value(bytes, "ledger_entry"),
        value(bytes, "member_record"),
        LinearFit.fit(trafficPoints),
        LinearFit.fit(corePoints),
        sizes);
  }

  private static double value(JsonNode object, String name) throws IOException {
    JsonNode value = object.path(name);
    if (!value.isNumber()) {
      throw new IOException("missing number: " + name);
    }
    return value.asDouble();
  }

  private static double measure(JsonNode measures, String name, int size) throws IOException {
    // The rollout benchmark reports its largest size without suffix.
    String suffixed = name + "_" + size;
    for (JsonNode measure : measures) {
      String found = measure.path("name").asText();
      if (found.equals(suffixed)) {
        return measure.path("value").asDouble();
      }
    }
    for (JsonNode measure : measures) {
      if (measure.path("name").asText().equals(name)) {
        return measure.path("value").asDouble();
      }
    }
    throw new IOException("missing measure: " + suffixed);
  }
}

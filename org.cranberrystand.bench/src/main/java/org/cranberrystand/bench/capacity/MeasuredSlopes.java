package org.cranberrystand.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.wire.Json;

/**
 * Measured costs, read from the results of the other benchmarks.
 *
 * @param teamBytes retained bytes per active team
 * @param engineBytes retained bytes per upstream in use
 * @param queuedBytes retained bytes per queued request
 * @param prefixBlockBytes retained bytes per prefix block
 * @param ledgerBytes retained bytes per claimed identifier
 * @param memberBytes retained bytes per member record
 * @param digestBytesPerSecond control bytes per second and node, by the number of nodes
 * @param digestCore part of a core for control per node, by the number of nodes
 * @param nodeSizes the numbers of nodes at which was measured
 */
public record MeasuredSlopes(
    double teamBytes,
    double engineBytes,
    double queuedBytes,
    double prefixBlockBytes,
    double ledgerBytes,
    double memberBytes,
    Slope digestBytesPerSecond,
    Slope digestCore,
    List<Integer> nodeSizes) {
  private static final int[] NODE_SIZES = {8, 16, 32, 64};

  /**
   * Reads results.
   *
   * @param state the file written by {@code bench state}
   * @param rollout the file written by {@code bench rollout}
   * @return the slopes
   * @throws IOException if a file cannot be read or lacks a value
   */
  public static MeasuredSlopes read(Path state, Path rollout) throws IOException {
    JsonNode bytes = Json.readTree(Files.readAllBytes(state)).path("retainedBytes");
    JsonNode measures = Json.readTree(Files.readAllBytes(rollout)).path("measures");
    List<Integer> sizes = new ArrayList<>();
    List<Slope.Point> traffic = new ArrayList<>();
    List<Slope.Point> core = new ArrayList<>();
    for (int size : NODE_SIZES) {
      sizes.add(size);
      traffic.add(new Slope.Point(size, measure(measures, "control_bytes_per_s", size)));
      core.add(new Slope.Point(size, measure(measures, "control_cpu_fraction", size)));
    }
    return new MeasuredSlopes(
        value(bytes, "active_team"),
        value(bytes, "engine"),
        value(bytes, "queued_request"),
        value(bytes, "prefix_block"),
        value(bytes, "ledger_entry"),
        value(bytes, "member_record"),
        Slope.fit(traffic),
        Slope.fit(core),
        sizes);
  }

  private static double value(JsonNode object, String name) throws IOException {
    JsonNode value = object.path(name);
    if (!value.isNumber()) {
      throw new IOException("no value for " + name);
    }
    return value.asDouble();
  }

  private static double measure(JsonNode measures, String name, int size) throws IOException {
    // The smallest size is reported without suffix.
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
    throw new IOException("no measure " + suffixed);
  }
}

package org.cranberrystand.bench.plot;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.stream.StreamSupport;
import org.cranberrystand.wire.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Draws the timelines of a policy report. */
@Command(
    name = "plot",
    mixinStandardHelpOptions = true,
    description = "Draws goodput by tier over time and the shares of the teams.")
public final class PlotCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "FILE", description = "the report of bench policy")
  private Path report;

  @Option(names = "--out", required = true, description = "the image to write, in PNG format")
  private Path out;

  @Option(names = "--workload", defaultValue = "taquari", description = "taquari or gendang")
  private String workload;

  @Option(names = "--flood", defaultValue = "urgent-flood", description = "the flood to draw")
  private String flood;

  @Option(names = "--teams", defaultValue = "backlogged", description = "the run for the shares")
  private String teams;

  @Override
  public Integer call() throws IOException {
    JsonNode root = Json.readTree(Files.readAllBytes(report));
    TimelineChart chart = new TimelineChart(find(root, flood), find(root, teams));
    chart.write(out);
    return 0;
  }

  private JsonNode find(JsonNode root, String scenario) {
    return StreamSupport.stream(root.path("timelines").spliterator(), false)
        .filter(t -> t.path("workload").asText().equals(workload))
        .filter(t -> t.path("scenario").asText().equals(scenario))
        .findFirst()
        .orElseThrow(
            () ->
                new ParameterException(
                    spec.commandLine(),
                    report + " has no timeline of " + workload + " with scenario " + scenario));
  }
}

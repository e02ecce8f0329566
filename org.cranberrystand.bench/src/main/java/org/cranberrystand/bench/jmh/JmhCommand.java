package org.cranberrystand.bench.jmh;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.cranberrystand.bench.report.Measure;
import org.cranberrystand.wire.Json;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures time and allocation of one dispatch decision. */
@Command(
    name = "jmh",
    mixinStandardHelpOptions = true,
    description = "Measures time and allocation of one dispatch decision.")
public final class JmhCommand implements Callable<Integer> {
  /** With 2 iterations on a busy machine the error was several times the value. */
  private static final int WARMUP_ITERATIONS = 8;

  private static final int MEASUREMENT_ITERATIONS = 6;
  private static final String ALLOCATION_RESULT = "gc.alloc.rate.norm";

  @Spec private CommandSpec spec;

  @Option(names = "--out", required = true, description = "the file for the results as JSON")
  private Path out;

  @Option(names = "--millis", defaultValue = "1000", description = "duration of an iteration")
  private long iterationMillis;

  @Override
  public Integer call() throws IOException, RunnerException {
    Options options =
        new OptionsBuilder()
            .include(DecisionBenchmark.class.getName())
            .forks(1)
            .shouldFailOnError(true)
            .warmupIterations(WARMUP_ITERATIONS)
            .warmupTime(TimeValue.milliseconds(iterationMillis))
            .measurementIterations(MEASUREMENT_ITERATIONS)
            .measurementTime(TimeValue.milliseconds(iterationMillis))
            .addProfiler(GCProfiler.class)
            .verbosity(VerboseMode.SILENT)
            .build();
    ArrayNode decisions = toJson(new Runner(options).run());
    ObjectNode root = Json.MAPPER.createObjectNode();
    root.set("decisions", decisions);
    Files.write(out, Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsBytes(root));
    PrintWriter writer = spec.commandLine().getOut();
    decisions.forEach(
        d ->
            writer.printf(
                Locale.ROOT,
                "engines %s teams %s queued %s: %.2f us +- %.2f, %.0f B%n",
                d.get("engines").asText(),
                d.get("teams").asText(),
                d.get("queued").asText(),
                d.get("microseconds").asDouble(),
                d.get("error").asDouble(),
                d.get("allocatedBytes").asDouble()));
    writer.flush();
    return 0;
  }

  private static ArrayNode toJson(Collection<RunResult> results) {
    ArrayNode decisions = Json.MAPPER.createArrayNode();
    for (RunResult result : results) {
      ObjectNode decision = decisions.addObject();
      for (String parameter : result.getParams().getParamsKeys()) {
        decision.put(parameter, Integer.parseInt(result.getParams().getParam(parameter)));
      }
      decision.put("microseconds", Measure.round(result.getPrimaryResult().getScore()));
      decision.put("error", Measure.round(result.getPrimaryResult().getScoreError()));
      result.getSecondaryResults().forEach((name, value) -> putAllocation(decision, name, value));
    }
    return decisions;
  }

  private static void putAllocation(ObjectNode decision, String name, Result<?> value) {
    if (name.endsWith(ALLOCATION_RESULT)) {
      decision.put("allocatedBytes", Measure.round(value.getScore()));
    }
  }
}

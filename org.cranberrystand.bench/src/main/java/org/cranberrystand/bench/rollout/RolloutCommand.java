package org.cranberrystand.bench.rollout;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.cranberrystand.bench.report.Measure;
import org.cranberrystand.bench.report.MeasureReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the time until a bundle is in force on all nodes, and the cost of distributing it. */
@Command(
    name = "rollout",
    mixinStandardHelpOptions = true,
    description = "Measures bundle distribution and the cost of control per node.")
public final class RolloutCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--out", paramLabel = "FILE", description = "Where to write the measures.")
  private Path out;

  @Option(
      names = "--sizes",
      split = ",",
      defaultValue = "8,16,32,64",
      description = "Fleet sizes for which the cost is measured (default: ${DEFAULT-VALUE}).")
  private List<Integer> sizes;

  @Option(
      names = "--rollout-sizes",
      split = ",",
      defaultValue = "8,64",
      description = "Fleet sizes for which rollouts are timed (default: ${DEFAULT-VALUE}).")
  private List<Integer> rolloutSizes;

  @Option(
      names = "--rollouts",
      defaultValue = "10",
      description = "Rollouts per scenario (default: ${DEFAULT-VALUE}).")
  private int rollouts;

  @Override
  public Integer call() throws Exception {
    // Every rollout logs one event per node; printing them would distort the measures.
    Logger.getLogger("").setLevel(Level.SEVERE);
    PrintWriter printer = spec.commandLine().getOut();
    List<Measure> measures = new RolloutBench(printer, rollouts).run(sizes, rolloutSizes);
    printer.print(MeasureReport.toTable("rollout", measures));
    printer.flush();
    if (out != null) {
      MeasureReport.write(measures, out);
    }
    return measures.stream().allMatch(Measure::pass) ? 0 : 1;
  }
}

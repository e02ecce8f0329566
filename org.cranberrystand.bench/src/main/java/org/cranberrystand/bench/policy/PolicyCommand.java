package org.cranberrystand.bench.policy;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import org.cranberrystand.bench.policy.Scenario.Times;
import org.cranberrystand.bench.report.Measure;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Command that measures the production scheduler and other policies.
 *
 * <p>The exit code is 0 only if the production scheduler meets every bound.
 */
@Command(
    name = "policy",
    mixinStandardHelpOptions = true,
    description = "Measures the dispatch policy of one node with simulated upstreams.")
public final class PolicyCommand implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Option(names = "--seed", required = true, description = "the first seed")
  private long seed;

  @Option(names = "--seeds", defaultValue = "1", description = "the number of seeds")
  private int seeds;

  @Option(names = "--out", description = "the file for the measures as JSON")
  private Path out;

  @Option(names = "--compact", description = "run shorter scenarios, as PolicyBenchmarkTest does")
  private boolean compact;

  @Option(names = "--no-baselines", description = "measure the production scheduler only")
  private boolean withoutBaselines;

  @Option(
      names = "--ablate",
      description = "also measure the scheduler without each of its features")
  private boolean ablate;

  @Override
  public Integer call() throws IOException {
    NamedPolicy scheduler = NamedPolicy.scheduler();
    List<NamedPolicy> policies = new ArrayList<>(List.of(scheduler));
    if (!withoutBaselines) {
      policies.addAll(NamedPolicy.baselines());
    }
    if (ablate) {
      policies.addAll(NamedPolicy.ablations());
    }
    List<Long> seedList = LongStream.range(seed, seed + seeds).boxed().toList();
    PolicyBenchmark benchmark = new PolicyBenchmark(compact ? Times.COMPACT : Times.FULL, seedList);
    PolicyReport report = new PolicyReport(benchmark.evaluate(policies), scheduler.name());
    PrintWriter writer = spec.commandLine().getOut();
    writer.print(report.tables());
    writer.flush();
    if (out != null) {
      Files.write(out, report.toJson());
    }
    return report.measures().stream().allMatch(Measure::pass) ? 0 : 1;
  }
}

package org.cranberrystand.bench;

import org.cranberrystand.bench.capacity.CapacityCommand;
import org.cranberrystand.bench.jmh.JmhCommand;
import org.cranberrystand.bench.jmh.StateCommand;
import org.cranberrystand.bench.overhead.OverheadCommand;
import org.cranberrystand.bench.plot.PlotCommand;
import org.cranberrystand.bench.policy.PolicyCommand;
import org.cranberrystand.bench.rollout.RolloutCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Entry point of the benchmarks. */
@Command(
    name = "bench",
    mixinStandardHelpOptions = true,
    description = "Runs benchmarks and writes their measures.",
    subcommands = {
      PolicyCommand.class,
      RolloutCommand.class,
      JmhCommand.class,
      StateCommand.class,
      PlotCommand.class,
      OverheadCommand.class,
      CapacityCommand.class
    })
public final class Main implements Runnable {
  @Spec private CommandSpec spec;

  private Main() {}

  /**
   * Runs a benchmark.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Main()).execute(args));
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "name a benchmark; --help lists them");
  }
}

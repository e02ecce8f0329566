package org.cranberrystand.pgm;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Compares the bundles in force. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = {
      "Compares the bundles in force on all given nodes with the one published.",
      "Exit code 0 if all are the same, 1 otherwise."
    })
final class RolloutStatusCommand implements Callable<Integer> {
  private static final int DIGEST_LENGTH = 12;

  @Mixin private Output output;
  @Mixin private Connection connection;

  @Override
  public Integer call() {
    RolloutState state = RolloutState.read(connection.open());
    output.print(state, () -> printTable(state));
    state.warnings().forEach(warning -> output.note("WARNING: " + warning));
    return state.isSettled() ? ExitCode.DONE : ExitCode.FAILED;
  }

  private void printTable(RolloutState state) {
    Output.Table table = new Output.Table("ADDRESS", "NODE", "VERSION", "DIGEST", "FAILURE");
    for (RolloutState.Line line : state.nodes()) {
      table.row(
          line.address(), line.node(), line.version(), shorten(line.digest()), line.failure());
    }
    if (state.published() != null) {
      table.row(
          "(published)",
          "",
          state.published().version(),
          shorten(state.published().digest()),
          state.published().state());
    }
    table.printTo(output.out());
  }

  private static String shorten(String digest) {
    return digest.substring(0, Math.min(DIGEST_LENGTH, digest.length()));
  }
}

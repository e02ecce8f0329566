package org.cranberrystand.pgm;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Compares the bundles in force with the published bundle. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = {
      "Compares the bundles in force on all given nodes with the published bundle.",
      "Exit code 0 if all are the same, 1 otherwise."
    })
final class RolloutStatusCommand implements Callable<Integer> {
  private static final int SHORT_DIGEST_CHARS = 12;

  @Mixin private Output output;
  @Mixin private ConnectionOptions connection;

  @Override
  public Integer call() {
    RolloutState state = RolloutState.read(connection.createClient());
    output.print(state, () -> printTable(state));
    state.warnings().forEach(warning -> output.note("WARNING: " + warning));
    return state.isSettled() ? ExitCode.SUCCESS : ExitCode.FAILED;
  }

  private void printTable(RolloutState state) {
    Output.Table table = new Output.Table("ADDRESS", "NODE", "VERSION", "DIGEST", "FAILURE");
    for (RolloutState.NodeStatus status : state.nodes()) {
      table.addRow(
          status.address(),
          status.node(),
          status.version(),
          abbreviate(status.digest()),
          status.failure());
    }
    if (state.published() != null) {
      table.addRow(
          "(published)",
          "",
          state.published().version(),
          abbreviate(state.published().digest()),
          state.published().state());
    }
    table.printTo(output.out());
  }

  private static String abbreviate(String digest) {
    return digest.substring(0, Math.min(SHORT_DIGEST_CHARS, digest.length()));
  }
}

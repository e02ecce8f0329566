package org.cranberrystand.pgm;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Parent of the subcommands that roll out bundles. */
@Command(
    name = "rollout",
    mixinStandardHelpOptions = true,
    description = "Rolls out bundles and compares the bundles in force on the nodes.",
    subcommands = {RolloutPushCommand.class, RolloutStatusCommand.class, RolloutWaitCommand.class})
final class RolloutCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "specify a subcommand; --help lists them");
  }
}

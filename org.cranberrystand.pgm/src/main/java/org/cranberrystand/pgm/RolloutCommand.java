package org.cranberrystand.pgm;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Group of the verbs that bring bundles into force. */
@Command(
    name = "rollout",
    mixinStandardHelpOptions = true,
    description = "Brings bundles into force and compares the nodes.",
    subcommands = {RolloutPushCommand.class, RolloutStatusCommand.class, RolloutWaitCommand.class})
final class RolloutCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "name a verb; --help lists them");
  }
}

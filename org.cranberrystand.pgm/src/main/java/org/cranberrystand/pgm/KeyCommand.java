package org.cranberrystand.pgm;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Parent of the subcommands that manage signing keys. */
@Command(
    name = "key",
    mixinStandardHelpOptions = true,
    description = "Manages the keys that sign bundles.",
    subcommands = {KeyGenerateCommand.class})
final class KeyCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "specify a subcommand; --help lists them");
  }
}

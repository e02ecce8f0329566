package org.cranberrystand.pgm;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Group of the verbs that handle signing keys. */
@Command(
    name = "key",
    mixinStandardHelpOptions = true,
    description = "Handles keys that sign bundles.",
    subcommands = {KeyGenerateCommand.class})
final class KeyCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "name a verb; --help lists them");
  }
}

package org.cranberrystand.pgm;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Parent of the subcommands that work on bundle files. */
@Command(
    name = "bundle",
    mixinStandardHelpOptions = true,
    description = "Writes, checks, compares and signs bundles.",
    subcommands = {
      BundleInitCommand.class,
      BundleCheckCommand.class,
      BundleDiffCommand.class,
      BundleSignCommand.class,
      BundleRenderCommand.class,
      BundleRevertCommand.class
    })
final class BundleCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "specify a subcommand; --help lists them");
  }
}

package org.cranberrystand.pgm;

import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Entry point of the command-line tool. */
@Command(
    name = "cranberrystand",
    mixinStandardHelpOptions = true,
    version = "cranberrystand 0.1.0",
    description = "Operates a fleet of cranberrystand nodes.",
    subcommands = {GenerateCompletion.class})
public final class Main implements Runnable {
  @Spec private CommandSpec spec;

  private Main() {}

  /**
   * Runs the tool.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Main()).execute(args));
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "name a command; --help lists them");
  }
}

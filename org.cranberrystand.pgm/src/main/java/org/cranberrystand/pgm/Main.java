package org.cranberrystand.pgm;

import java.io.PrintWriter;
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
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:done",
      "1:failed, or the checked state is not the expected one",
      "2:invalid command line or input",
      "3:the expected state was not reached before the timeout"
    },
    subcommands = {
      BundleCommand.class,
      KeyCommand.class,
      RolloutCommand.class,
      NodesCommand.class,
      UpstreamsCommand.class,
      QueuesCommand.class,
      TeamsCommand.class,
      ExplainCommand.class,
      DrainCommand.class,
      AuditCommand.class,
      TopCommand.class,
      LoadCommand.class,
      CommandLine.HelpCommand.class,
      GenerateCompletion.class
    })
public final class Main implements Runnable {
  @Spec private CommandSpec spec;

  private Main() {}

  /**
   * Runs the tool.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  static CommandLine commandLine() {
    return new CommandLine(new Main())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(
            (e, commandLine, result) -> reportException(e, commandLine.getErr()));
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "specify a command; --help lists them");
  }

  private static int reportException(Exception exception, PrintWriter err) {
    if (exception instanceof CommandException failure) {
      failure.findings().forEach(err::println);
      err.println("error: " + failure.getMessage());
      err.println("next: " + failure.nextStep());
      return failure.exitCode();
    }
    err.println("error: " + exception);
    err.println("next: if the message does not explain the cause, report it with the command line");
    return ExitCode.FAILED;
  }
}

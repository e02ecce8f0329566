package org.cranberrystand.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.logging.Handler;
import java.util.logging.Level;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.MonotonicClock;
import org.cranberrystand.wire.settings.NodeSettings;
import org.cranberrystand.wire.settings.NodeSettingsParser;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Entry point of the daemon. */
@Command(
    name = "cranberrystandd",
    mixinStandardHelpOptions = true,
    version = "cranberrystandd 0.1.0",
    description = "Runs one node of the fleet.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:ended after a graceful shutdown, or the checked settings are valid",
      "1:the node could not be started or failed to shut down",
      "2:the command line or the settings are invalid"
    })
public final class Main implements Callable<Integer> {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_INVALID = 2;

  /** 128 plus the signal number of SIGTERM (15), the convention of shells. */
  private static final int EXIT_TERMINATED = 143;

  @Spec private CommandSpec spec;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Settings of the node in TOML.")
  private Path config;

  @Option(names = "--check", description = "Check the settings and exit.")
  private boolean checkOnly;

  @Option(names = "--verbose", description = "Also log events of severity DEBUG.")
  private boolean verbose;

  private Main() {}

  /**
   * Runs the daemon.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }

  static CommandLine commandLine() {
    return new CommandLine(new Main());
  }

  @Override
  public Integer call() throws Exception {
    PrintWriter err = spec.commandLine().getErr();
    Checked<NodeSettings> settings;
    try {
      settings = NodeSettingsParser.parse(config.toString(), Files.readString(config));
    } catch (IOException e) {
      err.println(config + ": cannot be read: " + e);
      return EXIT_INVALID;
    }
    if (settings instanceof Checked.Invalid<NodeSettings> invalid) {
      invalid.findings().forEach(err::println);
      return EXIT_INVALID;
    }
    if (checkOnly) {
      spec.commandLine().getOut().println(config + ": settings are valid");
      return 0;
    }
    Handler output = LogOutput.installJsonLinesHandler(verbose ? Level.FINE : Level.INFO);
    int exitCode = runNode(settings.orElseThrow());
    output.close();
    return exitCode;
  }

  private static int runNode(NodeSettings settings) {
    EventLog log = new EventLog(settings.node());
    CompletableFuture<Void> terminationRequested = new CompletableFuture<>();
    try {
      // Installed before the start, so that a signal during the start causes a graceful shutdown.
      ProcessSignals.onTermination(() -> requestTermination(terminationRequested));
      runUntilDrained(terminationRequested, settings);
    } catch (Exception e) {
      log.write(LogEvent.TASK_FAILED, "task=node", e);
      return EXIT_FAILED;
    }
    return 0;
  }

  /** Runs a node until it is drained, which a signal or an operator requests. */
  private static void runUntilDrained(
      CompletableFuture<Void> terminationRequested, NodeSettings settings) throws Exception {
    try (Node node = Node.start(settings, MonotonicClock.system())) {
      CompletableFuture<Void> drain = terminationRequested.thenRun(node::drain);
      node.whenDrained().toCompletableFuture().join();
      drain.cancel(false);
    }
  }

  /** Requests a graceful shutdown; the second request ends the process at once. */
  private static void requestTermination(CompletableFuture<Void> terminationRequested) {
    if (!terminationRequested.complete(null)) {
      Runtime.getRuntime().halt(EXIT_TERMINATED);
    }
  }
}

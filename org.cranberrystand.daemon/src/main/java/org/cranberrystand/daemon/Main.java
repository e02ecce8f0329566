package org.cranberrystand.daemon;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
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
    description = "Runs one node of the fleet.")
public final class Main implements Callable<Integer> {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int EXIT_INVALID_SETTINGS = 2;

  /** 128 plus the number of SIGTERM, as shells report it. */
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

  private Main() {}

  /**
   * Runs the daemon.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    int exitCode = new CommandLine(new Main()).execute(args);
    if (exitCode != 0) {
      System.exit(exitCode);
    }
  }

  @Override
  public Integer call() throws Exception {
    Checked<NodeSettings> settings = readSettings();
    if (settings instanceof Checked.Invalid<NodeSettings> invalid) {
      PrintWriter err = spec.commandLine().getErr();
      invalid.findings().forEach(err::println);
      return EXIT_INVALID_SETTINGS;
    }
    if (checkOnly) {
      spec.commandLine().getOut().println(config + ": settings are valid");
      return 0;
    }
    Node node = Node.start(settings.orElseThrow(), MonotonicClock.system());
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "shutdown"));
    AtomicBoolean leaving = new AtomicBoolean();
    TerminationSignal.handle(() -> terminate(node, leaving));
    CountDownLatch drained = new CountDownLatch(1);
    node.whenDrained().thenRun(drained::countDown);
    drained.await();
    stop(node);
    return 0;
  }

  private Checked<NodeSettings> readSettings() throws IOException {
    return NodeSettingsParser.parse(config.toString(), Files.readString(config));
  }

  private static void terminate(Node node, AtomicBoolean leaving) {
    if (leaving.compareAndSet(false, true)) {
      node.drain();
    } else {
      Runtime.getRuntime().halt(EXIT_TERMINATED);
    }
  }

  private static void stop(Node node) {
    try {
      node.close();
    } catch (Exception e) {
      logger.atSevere().withCause(e).log("shutdown failed");
    }
  }
}

package org.cranberrystand.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import org.cranberrystand.daemon.gateway.Gateway;
import org.cranberrystand.daemon.gateway.GatewayPorts;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.util.Checked;
import org.cranberrystand.wire.settings.GatewaySettings;
import org.cranberrystand.wire.settings.GatewaySettingsParser;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The program of a gateway: command line, settings, signals and log output. */
@Command(
    name = "cranberrystand-gateway",
    mixinStandardHelpOptions = true,
    version = "cranberrystand-gateway 0.1.0",
    description = "Runs one node that forwards callers' requests by declared routes.",
    exitCodeListHeading = "Exit codes:%n",
    exitCodeList = {
      "0:ended after a graceful shutdown, or the checked settings are valid",
      "1:the node could not be started or failed to shut down",
      "2:the command line or the settings are invalid"
    })
public final class GatewayProgram implements Callable<Integer> {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_INVALID = 2;

  /** Settings may change without a signal. */
  private static final long SETTINGS_CHECK_SECONDS = 2;

  private final GatewayPorts ports;

  @Spec private CommandSpec spec;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      defaultValue = "${env:CRANBERRYSTAND_CONFIG}",
      required = true,
      description =
          "Settings of the node in TOML; by default the file that CRANBERRYSTAND_CONFIG"
              + " names.")
  private Path config;

  @Option(names = "--check", description = "Check the settings and exit.")
  private boolean checkOnly;

  @Option(
      names = "--training-run",
      description =
          "Start, answer some requests of its own and end, to record the classes of a"
              + " start with -XX:ArchiveClassesAtExit.")
  private boolean trainingRun;

  private GatewayProgram(GatewayPorts ports) {
    this.ports = ports;
  }

  /**
   * Runs the program.
   *
   * @param ports the adapter of the platform
   * @param args the command line
   * @return the exit code
   */
  public static int execute(GatewayPorts ports, String... args) {
    return new CommandLine(new GatewayProgram(ports)).execute(args);
  }

  @Override
  public Integer call() throws Exception {
    PrintWriter err = spec.commandLine().getErr();
    String text;
    try {
      text = Files.readString(config);
    } catch (IOException e) {
      err.println(config + ": cannot be read: " + e);
      return EXIT_INVALID;
    }
    Checked<GatewaySettings> settings = GatewaySettingsParser.parse(config.toString(), text);
    if (settings instanceof Checked.Invalid<GatewaySettings> invalid) {
      invalid.findings().forEach(err::println);
      return EXIT_INVALID;
    }
    if (checkOnly) {
      spec.commandLine().getOut().println(config + ": settings are valid");
      return 0;
    }
    Handler output = LogOutput.useJsonLines(Level.INFO);
    int exitCode = run(settings.orElseThrow(), text);
    output.close();
    return exitCode;
  }

  private int run(GatewaySettings settings, String text) {
    EventLog log = new EventLog(settings.node());
    CountDownLatch terminated = new CountDownLatch(1);
    try {
      // Installed first, so that a signal during the start also ends in a regular shutdown.
      ProcessSignals.handle(terminated::countDown);
      // The file is read again periodically, which covers the signal too.
      ProcessSignals.handleReload(() -> {});
      try (Gateway gateway = Gateway.start(settings, ports, log)) {
        if (trainingRun) {
          TrainingRun.execute(gateway);
          return 0;
        }
        String known = text;
        while (!terminated.await(SETTINGS_CHECK_SECONDS, TimeUnit.SECONDS)) {
          known = reloadIfChanged(gateway, known, log);
        }
        gateway.shutDownGracefully().toCompletableFuture().join();
      }
    } catch (Exception e) {
      log.write(LogEvent.TASK_FAILED, "task=gateway", e);
      return EXIT_FAILED;
    }
    return 0;
  }

  private String reloadIfChanged(Gateway gateway, String known, EventLog log) {
    String text;
    try {
      text = Files.readString(config);
    } catch (IOException e) {
      log.write(LogEvent.SETTINGS_INVALID, "file=" + config, e);
      return known;
    }
    if (text.equals(known)) {
      return known;
    }
    Checked<GatewaySettings> changed = GatewaySettingsParser.parse(config.toString(), text);
    if (changed instanceof Checked.Invalid<GatewaySettings> invalid) {
      log.write(LogEvent.SETTINGS_INVALID, "cause=" + invalid.findings());
    } else {
      gateway.reload(changed.orElseThrow());
    }
    return text;
  }
}

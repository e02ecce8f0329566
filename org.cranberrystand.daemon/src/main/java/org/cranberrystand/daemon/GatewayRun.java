package org.cranberrystand.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
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

/**
 * Runs a gateway from its settings file until the process is told to stop.
 *
 * <p>Does not use the command line parser, which would take a tenth of the processor time of a
 * start. Used by one thread.
 */
final class GatewayRun {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_INVALID = 2;

  /** How often the settings file is read, since it may change without a SIGHUP. */
  private static final long SETTINGS_POLL_INTERVAL_SECONDS = 2;

  private final GatewayPorts ports;
  private final Path config;
  private final PrintWriter err;

  /**
   * Prepares a run.
   *
   * @param ports the adapters to the platform of the gateway
   * @param config the settings file
   * @param err receives the findings on invalid settings
   */
  GatewayRun(GatewayPorts ports, Path config, PrintWriter err) {
    this.ports = ports;
    this.config = config;
    this.err = err;
  }

  /** What to do after the start. */
  enum Mode {
    /** Serve until the process is told to stop. */
    SERVE,
    /** Check the settings only. */
    CHECK,
    /** Answer some requests of its own, to record the classes of a start. */
    TRAIN
  }

  /** Runs the gateway and returns the exit code of the process. */
  int execute(Mode mode) {
    String settingsText;
    try {
      settingsText = Files.readString(config);
    } catch (IOException e) {
      err.println(config + ": cannot be read: " + e);
      return EXIT_INVALID;
    }
    Checked<GatewaySettings> settings =
        GatewaySettingsParser.parse(config.toString(), settingsText);
    if (settings instanceof Checked.Invalid<GatewaySettings> invalid) {
      invalid.findings().forEach(err::println);
      return EXIT_INVALID;
    }
    if (mode == Mode.CHECK) {
      return 0;
    }
    Handler output = LogOutput.installJsonLinesHandler(Level.INFO);
    int exitCode = runGateway(settings.orElseThrow(), settingsText, mode);
    output.close();
    return exitCode;
  }

  private int runGateway(GatewaySettings settings, String settingsText, Mode mode) {
    EventLog log = new EventLog(settings.node());
    CountDownLatch terminated = new CountDownLatch(1);
    try {
      // Installed before the start, so that a signal during the start causes a graceful shutdown.
      ProcessSignals.onTermination(terminated::countDown);
      // SIGHUP would end the process; the poll below already reloads changed settings.
      ProcessSignals.onReload(() -> {});
      try (Gateway gateway = Gateway.start(settings, ports, log)) {
        if (mode == Mode.TRAIN) {
          TrainingRun.execute(gateway);
          return 0;
        }
        String currentText = settingsText;
        while (!terminated.await(SETTINGS_POLL_INTERVAL_SECONDS, TimeUnit.SECONDS)) {
          currentText = reloadIfChanged(gateway, currentText, log);
        }
        gateway.shutDownGracefully().toCompletableFuture().join();
      }
    } catch (Exception e) {
      log.write(LogEvent.TASK_FAILED, "task=gateway", e);
      return EXIT_FAILED;
    }
    return 0;
  }

  private String reloadIfChanged(Gateway gateway, String currentText, EventLog log) {
    String newText;
    try {
      newText = Files.readString(config);
    } catch (IOException e) {
      log.write(LogEvent.SETTINGS_INVALID, "file=" + config, e);
      return currentText;
    }
    if (newText.equals(currentText)) {
      return currentText;
    }
    Checked<GatewaySettings> newSettings = GatewaySettingsParser.parse(config.toString(), newText);
    if (newSettings instanceof Checked.Invalid<GatewaySettings> invalid) {
      log.write(LogEvent.SETTINGS_INVALID, "cause=" + invalid.findings());
    } else {
      gateway.reload(newSettings.orElseThrow());
    }
    return newText;
  }
}

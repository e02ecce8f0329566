package org.cranberrystand.daemon;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.cranberrystand.daemon.gateway.GatewayPorts;

/**
 * The program of a gateway. Thread-safe.
 *
 * <p>Without arguments it takes its settings file from the environment and does without the command
 * line parser; this is how the platform starts it, and a restart has to be fast.
 */
public final class GatewayProgram {
  /** Names the settings file if the command line does not. */
  static final String CONFIG_VARIABLE = "CRANBERRYSTAND_CONFIG";

  /** A system property: true for a start that records its classes for the class archive. */
  private static final String TRAINING_PROPERTY = "cranberrystand.training";

  private GatewayProgram() {}

  /**
   * Runs the gateway until it is told to stop.
   *
   * @param ports the adapters to the platform of the gateway
   * @param args the command line
   * @return the exit code: 0 for success, 1 for a failure, 2 for invalid input
   */
  public static int execute(GatewayPorts ports, String... args) {
    String config = System.getenv(CONFIG_VARIABLE);
    if (args.length > 0 || config == null) {
      return GatewayCommand.execute(ports, args);
    }
    PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
    GatewayRun.Mode mode =
        Boolean.getBoolean(TRAINING_PROPERTY) ? GatewayRun.Mode.TRAIN : GatewayRun.Mode.SERVE;
    return new GatewayRun(ports, Path.of(config), err).execute(mode);
  }
}

package org.cranberrystand.daemon;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.cranberrystand.daemon.gateway.GatewayPorts;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command line of a gateway. {@link GatewayRun} does the work. */
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
final class GatewayCommand implements Callable<Integer> {
  private final GatewayPorts ports;

  @Spec private CommandSpec spec;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      defaultValue = "${env:" + GatewayProgram.CONFIG_VARIABLE + "}",
      required = true,
      description =
          "Settings of the node in TOML; by default the file that "
              + GatewayProgram.CONFIG_VARIABLE
              + " names.")
  private Path config;

  @Option(names = "--check", description = "Check the settings and exit.")
  private boolean checkOnly;

  private GatewayCommand(GatewayPorts ports) {
    this.ports = ports;
  }

  /**
   * Parses the command line and runs the gateway until it is told to stop.
   *
   * @param ports the adapters to the platform of the gateway
   * @param args the command line
   * @return the exit code: 0 for success, 1 for a failure, 2 for invalid input
   */
  static int execute(GatewayPorts ports, String... args) {
    return new CommandLine(new GatewayCommand(ports)).execute(args);
  }

  @Override
  public Integer call() {
    GatewayRun.Mode mode = checkOnly ? GatewayRun.Mode.CHECK : GatewayRun.Mode.SERVE;
    int exitCode = new GatewayRun(ports, config, spec.commandLine().getErr()).execute(mode);
    if (checkOnly && exitCode == 0) {
      spec.commandLine().getOut().println(config + ": settings are valid");
    }
    return exitCode;
  }
}

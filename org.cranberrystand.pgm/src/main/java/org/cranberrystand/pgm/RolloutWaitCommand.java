package org.cranberrystand.pgm;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.cranberrystand.bundle.Bundle;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Waits until a bundle is in force on all given nodes. */
@Command(
    name = "wait",
    mixinStandardHelpOptions = true,
    description = {
      "Waits until a bundle is in force on all given nodes.",
      "Exit code 0 if it is in force, 1 if a newer version is in force, 3 after the timeout."
    })
final class RolloutWaitCommand implements Callable<Integer> {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

  @Mixin private Output output;
  @Mixin private ConnectionOptions connection;

  @ArgGroup(multiplicity = "1")
  private Target target;

  @Option(
      names = "--timeout",
      paramLabel = "SECONDS",
      defaultValue = "30",
      description = "How long to wait. Default: ${DEFAULT-VALUE}.")
  private int timeoutSeconds;

  /** The bundle or version to wait for. */
  static final class Target {
    @Option(names = "--bundle", paramLabel = "FILE", description = "The bundle to wait for.")
    private Path bundleFile;

    @Option(names = "--version-number", paramLabel = "N", description = "The version to wait for.")
    private long version;
  }

  @Override
  public Integer call() throws InterruptedException {
    long version = target.version;
    String digest = null;
    if (target.bundleFile != null) {
      Bundle bundle = BundleFiles.read(target.bundleFile).bundle();
      version = bundle.version();
      digest = bundle.digest();
    }
    OperatorClient client = connection.createClient();
    long deadlineNanos = System.nanoTime() + Duration.ofSeconds(timeoutSeconds).toNanos();
    while (true) {
      RolloutState state = RolloutState.read(client);
      long targetVersion = version;
      if (state.isInForceEverywhere(version, digest)) {
        printResult(state, "version " + version + " is in force on all nodes");
        return ExitCode.SUCCESS;
      }
      if (state.nodes().stream().anyMatch(status -> status.version() > targetVersion)) {
        printResult(state, "a version newer than " + version + " is in force");
        return ExitCode.FAILED;
      }
      if (System.nanoTime() >= deadlineNanos) {
        printResult(state, "version " + version + " is not in force on all nodes");
        output.note("next: run \"rollout status\" to see which nodes lag behind");
        return ExitCode.TIMEOUT;
      }
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  private void printResult(RolloutState state, String message) {
    output.print(state, () -> output.out().println(message));
    state.warnings().forEach(warning -> output.note("WARNING: " + warning));
  }
}

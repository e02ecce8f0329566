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
      "Exit code 0 when it is, 1 when a newer version is in force, 3 after the timeout."
    })
final class RolloutWaitCommand implements Callable<Integer> {
  private static final Duration PAUSE = Duration.ofMillis(500);

  @Mixin private Output output;
  @Mixin private Connection connection;

  @ArgGroup(multiplicity = "1")
  private Wanted wanted;

  @Option(
      names = "--timeout",
      paramLabel = "SECONDS",
      defaultValue = "30",
      description = "How long to wait. Default: ${DEFAULT-VALUE}.")
  private int timeoutSeconds;

  /** What to wait for. */
  static final class Wanted {
    @Option(names = "--bundle", paramLabel = "FILE", description = "The bundle to wait for.")
    private Path file;

    @Option(names = "--version-number", paramLabel = "N", description = "The version to wait for.")
    private long version;
  }

  @Override
  public Integer call() throws InterruptedException {
    long version = wanted.version;
    String digest = null;
    if (wanted.file != null) {
      Bundle bundle = BundleFiles.read(wanted.file).bundle();
      version = bundle.version();
      digest = bundle.digest();
    }
    OperatorClient client = connection.open();
    long deadline = System.nanoTime() + Duration.ofSeconds(timeoutSeconds).toNanos();
    while (true) {
      RolloutState state = RolloutState.read(client);
      long target = version;
      if (state.isInForceEverywhere(version, digest)) {
        finish(state, "version " + version + " is in force on all nodes");
        return ExitCode.DONE;
      }
      if (state.nodes().stream().anyMatch(line -> line.version() > target)) {
        finish(state, "a version newer than " + version + " is in force");
        return ExitCode.FAILED;
      }
      if (System.nanoTime() >= deadline) {
        finish(state, "version " + version + " is not in force everywhere");
        output.note("next: \"rollout status\" shows which nodes lag");
        return ExitCode.TIMEOUT;
      }
      Thread.sleep(PAUSE.toMillis());
    }
  }

  private void finish(RolloutState state, String line) {
    output.print(state, () -> output.out().println(line));
    state.warnings().forEach(warning -> output.note("WARNING: " + warning));
  }
}

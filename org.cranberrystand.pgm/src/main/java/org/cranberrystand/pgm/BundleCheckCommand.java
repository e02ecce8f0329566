package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableMap;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.cranberrystand.bundle.Bundle;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Validates a bundle and reports all errors. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Validates a bundle and reports all errors with file, line and key.")
final class BundleCheckCommand implements Callable<Integer> {
  @Mixin private Output output;

  @Parameters(paramLabel = "FILE", description = "The bundle, in TOML or signed form.")
  private Path file;

  @Override
  public Integer call() {
    if (output.isJson()) {
      return checkAsJson();
    }
    Bundle bundle = BundleFiles.read(file).bundle();
    output
        .out()
        .println(file + ": version " + bundle.version() + " is valid, digest " + bundle.digest());
    return ExitCode.SUCCESS;
  }

  private int checkAsJson() {
    try {
      Bundle bundle = BundleFiles.read(file).bundle();
      output.print(
          ImmutableMap.of("valid", true, "version", bundle.version(), "digest", bundle.digest()),
          () -> {});
      return ExitCode.SUCCESS;
    } catch (CommandException e) {
      output.print(
          ImmutableMap.of("valid", false, "error", e.getMessage(), "findings", e.findings()),
          () -> {});
      return e.exitCode();
    }
  }
}

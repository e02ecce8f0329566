package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableMap;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.cranberrystand.bundle.Bundle;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Reports everything that is wrong with a bundle. */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Reports everything that is wrong with a bundle, with file, line and key.")
final class BundleCheckCommand implements Callable<Integer> {
  @Mixin private Output output;

  @Parameters(paramLabel = "FILE", description = "The bundle in TOML or signed form.")
  private Path file;

  @Override
  public Integer call() {
    if (output.isJson()) {
      return checkForScripts();
    }
    Bundle bundle = BundleFiles.read(file).bundle();
    output
        .out()
        .println(file + ": version " + bundle.version() + " is valid, digest " + bundle.digest());
    return ExitCode.DONE;
  }

  private int checkForScripts() {
    try {
      Bundle bundle = BundleFiles.read(file).bundle();
      output.print(
          ImmutableMap.of("valid", true, "version", bundle.version(), "digest", bundle.digest()),
          () -> {});
      return ExitCode.DONE;
    } catch (CommandFailure e) {
      output.print(
          ImmutableMap.of("valid", false, "error", e.getMessage(), "findings", e.findings()),
          () -> {});
      return e.exitCode();
    }
  }
}

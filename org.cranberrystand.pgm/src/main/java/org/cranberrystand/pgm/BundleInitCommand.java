package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableMap;
import com.google.common.io.Resources;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Writes a commented example bundle. */
@Command(
    name = "init",
    mixinStandardHelpOptions = true,
    description = "Writes a commented example bundle as a starting point.")
final class BundleInitCommand implements Callable<Integer> {
  static final String EXAMPLE_RESOURCE = "bundle.toml";

  @Mixin private Output output;

  @Parameters(paramLabel = "FILE", description = "The file to write.")
  private Path file;

  @Option(names = "--force", description = "Overwrite an existing file.")
  private boolean force;

  @Option(names = "--dry-run", description = "Do not write the file.")
  private boolean dryRun;

  @Override
  public Integer call() throws IOException {
    String text =
        Resources.toString(
            Resources.getResource(BundleInitCommand.class, EXAMPLE_RESOURCE),
            StandardCharsets.UTF_8);
    BundleFiles.write(file, text, force, dryRun);
    output.print(
        ImmutableMap.of("file", file.toString(), "dryRun", dryRun),
        () -> output.out().println((dryRun ? "would write " : "wrote ") + file));
    return ExitCode.SUCCESS;
  }
}

package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableMap;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.bundle.BundleParser;
import org.cranberrystand.wire.bundle.BundleRenderer;
import org.cranberrystand.wire.bundle.BundleRevision;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Writes a new bundle version with the content of an old bundle. */
@Command(
    name = "revert",
    mixinStandardHelpOptions = true,
    description = {
      "Writes a new bundle version with the content of an old bundle.",
      "Nodes refuse lower versions, so a rollback needs a new, higher version."
    })
final class BundleRevertCommand implements Callable<Integer> {
  @Mixin private Output output;

  @Parameters(paramLabel = "CURRENT", description = "The bundle in force, in TOML or signed form.")
  private Path currentFile;

  @Option(
      names = "--to",
      required = true,
      paramLabel = "FILE",
      description = "The old bundle to restore, in TOML or signed form.")
  private Path sourceFile;

  @Option(
      names = "--out",
      required = true,
      paramLabel = "FILE",
      description = "The TOML file to write.")
  private Path outFile;

  @Option(names = "--force", description = "Overwrite an existing file.")
  private boolean force;

  @Option(names = "--dry-run", description = "Do not write the file.")
  private boolean dryRun;

  @Override
  public Integer call() {
    BundleFiles.ParsedBundle source = BundleFiles.read(sourceFile);
    BundleFiles.ParsedBundle current = BundleFiles.read(currentFile);
    String text;
    try {
      boolean isSplit = !BundleParser.partDigests(source.text()).isEmpty();
      String completeText = isSplit ? BundleRenderer.render(source.bundle()) : source.text();
      text = BundleRevision.createSuccessor(completeText, source.bundle(), current.bundle());
    } catch (IllegalArgumentException e) {
      throw CommandException.invalid(
          "cannot create a new version from " + sourceFile, e.getMessage());
    }
    BundleFiles.write(outFile, text, force, dryRun);
    long version = current.bundle().version() + 1;
    output.print(
        ImmutableMap.of("file", outFile.toString(), "version", version, "dryRun", dryRun),
        () ->
            output
                .out()
                .println(
                    (dryRun ? "would write" : "wrote")
                        + " version "
                        + version
                        + " with the content of "
                        + sourceFile
                        + " to "
                        + outFile));
    return ExitCode.SUCCESS;
  }
}

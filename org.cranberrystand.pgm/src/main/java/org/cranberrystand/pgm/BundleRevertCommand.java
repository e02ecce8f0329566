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

/** Writes the content of an old bundle as a new version. */
@Command(
    name = "revert",
    mixinStandardHelpOptions = true,
    description = {
      "Writes a new version with the content of an old bundle.",
      "Nodes never go back to a lower version, so a rollback is a new version."
    })
final class BundleRevertCommand implements Callable<Integer> {
  @Mixin private Output output;

  @Parameters(paramLabel = "CURRENT", description = "The bundle in force, TOML or signed.")
  private Path current;

  @Option(
      names = "--to",
      required = true,
      paramLabel = "FILE",
      description = "The bundle whose content is wanted, TOML or signed.")
  private Path wanted;

  @Option(
      names = "--out",
      required = true,
      paramLabel = "FILE",
      description = "The TOML file to write.")
  private Path target;

  @Option(names = "--force", description = "Replace an existing file.")
  private boolean force;

  @Option(names = "--dry-run", description = "Write nothing.")
  private boolean dryRun;

  @Override
  public Integer call() {
    BundleFiles.Content old = BundleFiles.read(wanted);
    BundleFiles.Content inForce = BundleFiles.read(current);
    String text;
    try {
      boolean inParts = !BundleParser.partDigests(old.text()).isEmpty();
      String whole = inParts ? BundleRenderer.render(old.bundle()) : old.text();
      text = BundleRevision.createSuccessor(whole, old.bundle(), inForce.bundle());
    } catch (IllegalArgumentException e) {
      throw CommandFailure.invalid(wanted + " cannot be revised", e.getMessage());
    }
    BundleFiles.write(target, text, force, dryRun);
    long version = inForce.bundle().version() + 1;
    output.print(
        ImmutableMap.of("file", target.toString(), "version", version, "dryRun", dryRun),
        () ->
            output
                .out()
                .println(
                    (dryRun ? "would write" : "wrote")
                        + " version "
                        + version
                        + " with the content of "
                        + wanted
                        + " to "
                        + target));
    return ExitCode.DONE;
  }
}

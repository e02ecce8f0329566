package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.bundle.BundleDiff;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Lists the differences between two bundles. */
@Command(
    name = "diff",
    mixinStandardHelpOptions = true,
    description = "Lists the differences between two bundles by kind, pool, shop, team and share.")
final class BundleDiffCommand implements Callable<Integer> {
  @Mixin private Output output;

  @Parameters(index = "0", paramLabel = "OLD", description = "The old bundle.")
  private Path oldFile;

  @Parameters(index = "1", paramLabel = "NEW", description = "The new bundle.")
  private Path newFile;

  @Override
  public Integer call() {
    ImmutableList<BundleDiff.Change> changes =
        BundleDiff.between(BundleFiles.read(oldFile).bundle(), BundleFiles.read(newFile).bundle());
    output.print(
        changes,
        () -> {
          changes.forEach(output.out()::println);
          if (changes.isEmpty()) {
            output.out().println("the contents are the same");
          }
        });
    return ExitCode.SUCCESS;
  }
}

package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.bundle.BundleDiff;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Compares two bundles. */
@Command(
    name = "diff",
    mixinStandardHelpOptions = true,
    description = "Compares two bundles by kinds, pools, shops, teams and shares.")
final class BundleDiffCommand implements Callable<Integer> {
  @Mixin private Output output;

  @Parameters(index = "0", paramLabel = "OLD", description = "The old bundle.")
  private Path before;

  @Parameters(index = "1", paramLabel = "NEW", description = "The new bundle.")
  private Path after;

  @Override
  public Integer call() {
    ImmutableList<BundleDiff.Change> changes =
        BundleDiff.between(BundleFiles.read(before).bundle(), BundleFiles.read(after).bundle());
    output.print(
        changes,
        () -> {
          changes.forEach(output.out()::println);
          if (changes.isEmpty()) {
            output.out().println("the contents are the same");
          }
        });
    return ExitCode.DONE;
  }
}

package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableMap;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.cranberrystand.wire.bundle.BundleRenderer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Prints a bundle with all defaults filled in. */
@Command(
    name = "render",
    mixinStandardHelpOptions = true,
    description = "Prints a bundle as TOML with all defaults filled in.")
final class BundleRenderCommand implements Callable<Integer> {
  @Mixin private Output output;

  @Parameters(paramLabel = "FILE", description = "The bundle, in TOML or signed form.")
  private Path file;

  @Override
  public Integer call() {
    String text = BundleRenderer.render(BundleFiles.read(file).bundle());
    output.print(ImmutableMap.of("bundle", text), () -> output.out().print(text));
    return ExitCode.SUCCESS;
  }
}

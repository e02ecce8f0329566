package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.SignedBundle;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Signs a bundle. */
@Command(
    name = "sign",
    mixinStandardHelpOptions = true,
    description = "Checks and signs a bundle and writes the form that is published.")
final class BundleSignCommand implements Callable<Integer> {
  /** The configuration service holds values up to 1 MB. */
  private static final int MAX_PUBLISHED_BYTES = 1_000_000;

  @Mixin private Output output;

  @Parameters(paramLabel = "FILE", description = "The bundle in TOML.")
  private Path file;

  @Option(
      names = "--key",
      required = true,
      paramLabel = "FILE",
      description = {
        "Private key written by \"key generate\".",
        "Repeat it to sign with several keys, as during a change of keys."
      })
  private List<Path> keys;

  @Option(
      names = "--out",
      required = true,
      paramLabel = "FILE",
      description = "The signed bundle to write.")
  private Path target;

  @Option(
      names = "--previous",
      paramLabel = "FILE",
      description = "The bundle in force; the version must be higher and name it as predecessor.")
  private Path previous;

  @Option(names = "--force", description = "Replace an existing file.")
  private boolean force;

  @Option(names = "--dry-run", description = "Check everything and write nothing.")
  private boolean dryRun;

  @Override
  public Integer call() {
    BundleFiles.Content content = BundleFiles.read(file);
    if (previous != null) {
      compare(content.bundle(), BundleFiles.read(previous).bundle());
    }
    ImmutableList.Builder<SignedBundle.Signature> signatures = ImmutableList.builder();
    for (Path path : keys) {
      KeyFile key = KeyFile.read(path);
      signatures.addAll(BundleSignatures.sign(content.text(), key.id(), key.key()).signatures());
    }
    SignedBundle signed = new SignedBundle(content.text(), signatures.build());
    String published = Json.toText(signed) + "\n";
    int size = published.getBytes(StandardCharsets.UTF_8).length;
    if (size > MAX_PUBLISHED_BYTES) {
      throw CommandFailure.invalid(
          "the signed bundle has " + size + " bytes; the configuration service holds 1 MB",
          "shorten the bundle, for example by grouping shops into fewer teams");
    }
    BundleFiles.write(target, published, force, dryRun);
    Bundle bundle = content.bundle();
    output.print(
        ImmutableMap.of(
            "file", target.toString(),
            "version", bundle.version(),
            "digest", bundle.digest(),
            "dryRun", dryRun),
        () ->
            output
                .out()
                .printf(
                    "%s version %d, digest %s, to %s%n",
                    dryRun ? "would write" : "wrote", bundle.version(), bundle.digest(), target));
    return ExitCode.DONE;
  }

  private void compare(Bundle bundle, Bundle inForce) {
    if (bundle.version() <= inForce.version()) {
      throw CommandFailure.invalid(
          "version " + bundle.version() + " is not higher than " + inForce.version(),
          "set version = " + (inForce.version() + 1) + " in " + file);
    }
    if (!bundle.predecessorDigest().equals(inForce.digest())) {
      throw CommandFailure.invalid(
          "the predecessor is not the digest of " + previous,
          "set predecessor = \"" + inForce.digest() + "\" in " + file);
    }
  }
}

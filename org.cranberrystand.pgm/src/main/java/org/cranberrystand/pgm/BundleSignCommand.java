package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleParser;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.BundleSplitter;
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

  @Option(
      names = "--parts",
      paramLabel = "N",
      description = {
        "Split teams and shops into N parts, for bundles above 1 MB.",
        "The parts are written to the directory OUT.parts; publish each as bundle/part/NAME."
      })
  private int partCount;

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
    BundleSplitter.Split split =
        partCount > 0
            ? BundleSplitter.split(content.text(), partCount)
            : new BundleSplitter.Split(content.text(), ImmutableMap.of());
    SignedBundle signed = sign(split.manifest());
    String published = Json.toText(signed) + "\n";
    checkSize(published);
    split.parts().values().forEach(BundleSignCommand::checkSize);
    BundleFiles.write(target, published, force, dryRun);
    writeParts(split.parts());
    report(content.bundle().version(), BundleParser.digestOf(split.manifest()));
    return ExitCode.DONE;
  }

  private SignedBundle sign(String text) {
    ImmutableList.Builder<SignedBundle.Signature> signatures = ImmutableList.builder();
    for (Path path : keys) {
      KeyFile key = KeyFile.read(path);
      signatures.addAll(BundleSignatures.sign(text, key.id(), key.key()).signatures());
    }
    return new SignedBundle(text, signatures.build());
  }

  private void writeParts(ImmutableMap<String, String> parts) {
    Path directory = BundleFiles.partDirectory(target);
    if (parts.isEmpty() || dryRun) {
      return;
    }
    try {
      Files.createDirectories(directory);
    } catch (IOException e) {
      throw CommandFailure.failed("cannot create " + directory + ": " + e, "choose another --out");
    }
    parts.forEach(
        (digest, text) -> BundleFiles.write(directory.resolve(digest), text, true, false));
  }

  private static void checkSize(String published) {
    int size = published.getBytes(StandardCharsets.UTF_8).length;
    if (size > MAX_PUBLISHED_BYTES) {
      throw CommandFailure.invalid(
          "a value has " + size + " bytes; the configuration service holds 1 MB",
          "split teams and shops with --parts 128, or more parts");
    }
  }

  private void report(long version, String digest) {
    output.print(
        ImmutableMap.of(
            "file", target.toString(), "version", version, "digest", digest, "dryRun", dryRun),
        () ->
            output
                .out()
                .printf(
                    "%s version %d, digest %s, to %s%n",
                    dryRun ? "would write" : "wrote", version, digest, target));
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

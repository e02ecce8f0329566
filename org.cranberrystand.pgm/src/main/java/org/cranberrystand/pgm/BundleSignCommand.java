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

/** Validates and signs a bundle. */
@Command(
    name = "sign",
    mixinStandardHelpOptions = true,
    description = "Validates a bundle, signs it and writes the signed form for publication.")
final class BundleSignCommand implements Callable<Integer> {
  /** Maximum size of a value in the configuration service. */
  private static final int MAX_VALUE_BYTES = 1_000_000;

  @Mixin private Output output;

  @Parameters(paramLabel = "FILE", description = "The bundle in TOML.")
  private Path bundleFile;

  @Option(
      names = "--key",
      required = true,
      paramLabel = "FILE",
      description = {
        "Private key written by \"key generate\".",
        "Repeat it to sign with several keys, for example during a key rotation."
      })
  private List<Path> keyFiles;

  @Option(
      names = "--out",
      required = true,
      paramLabel = "FILE",
      description = "The signed bundle to write.")
  private Path outFile;

  @Option(
      names = "--previous",
      paramLabel = "FILE",
      description = {
        "The bundle in force.",
        "The new bundle must have a higher version and name it as predecessor."
      })
  private Path previousFile;

  @Option(
      names = "--parts",
      paramLabel = "N",
      description = {
        "Split teams and shops into N parts, for bundles above 1 MB.",
        "The parts are written to the directory OUT.parts; publish each as bundle/part/NAME."
      })
  private int partCount;

  @Option(names = "--force", description = "Overwrite an existing file.")
  private boolean force;

  @Option(names = "--dry-run", description = "Validate and sign the bundle, but write no file.")
  private boolean dryRun;

  @Override
  public Integer call() {
    BundleFiles.ParsedBundle content = BundleFiles.read(bundleFile);
    if (previousFile != null) {
      checkSuccessor(content.bundle(), BundleFiles.read(previousFile).bundle());
    }
    BundleSplitter.Split split =
        partCount > 0
            ? BundleSplitter.split(content.text(), partCount)
            : new BundleSplitter.Split(content.text(), ImmutableMap.of());
    SignedBundle signed = sign(split.manifest());
    String published = Json.toText(signed) + "\n";
    checkSize(published);
    split.parts().values().forEach(BundleSignCommand::checkSize);
    BundleFiles.write(outFile, published, force, dryRun);
    writeParts(split.parts());
    printResult(content.bundle().version(), BundleParser.digestOf(split.manifest()));
    return ExitCode.SUCCESS;
  }

  private SignedBundle sign(String text) {
    ImmutableList.Builder<SignedBundle.Signature> signatures = ImmutableList.builder();
    for (Path path : keyFiles) {
      KeyFile key = KeyFile.read(path);
      signatures.addAll(BundleSignatures.sign(text, key.id(), key.key()).signatures());
    }
    return new SignedBundle(text, signatures.build());
  }

  private void writeParts(ImmutableMap<String, String> parts) {
    Path directory = BundleFiles.partDirectory(outFile);
    if (parts.isEmpty() || dryRun) {
      return;
    }
    try {
      Files.createDirectories(directory);
    } catch (IOException e) {
      throw CommandException.failed(
          "cannot create " + directory + ": " + e, "specify another file with --out");
    }
    parts.forEach(
        (digest, text) -> BundleFiles.write(directory.resolve(digest), text, true, false));
  }

  private static void checkSize(String published) {
    int size = published.getBytes(StandardCharsets.UTF_8).length;
    if (size > MAX_VALUE_BYTES) {
      throw CommandException.invalid(
          "the signed bundle or one of its parts has "
              + size
              + " bytes;"
              + " the configuration service accepts at most 1 MB",
          "split teams and shops with --parts 128, or more parts");
    }
  }

  private void printResult(long version, String digest) {
    output.print(
        ImmutableMap.of(
            "file", outFile.toString(), "version", version, "digest", digest, "dryRun", dryRun),
        () ->
            output
                .out()
                .printf(
                    "%s version %d, digest %s, to %s%n",
                    dryRun ? "would write" : "wrote", version, digest, outFile));
  }

  private void checkSuccessor(Bundle bundle, Bundle inForce) {
    if (bundle.version() <= inForce.version()) {
      throw CommandException.invalid(
          "version " + bundle.version() + " is not higher than " + inForce.version(),
          "set version = " + (inForce.version() + 1) + " in " + bundleFile);
    }
    if (!bundle.predecessorDigest().equals(inForce.digest())) {
      throw CommandException.invalid(
          "the predecessor is not the digest of " + previousFile,
          "set predecessor = \"" + inForce.digest() + "\" in " + bundleFile);
    }
  }
}

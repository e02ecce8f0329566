package org.cranberrystand.pgm;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.util.Checked;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleParser;
import org.cranberrystand.wire.bundle.BundlePart;
import org.cranberrystand.wire.bundle.BundlePartCache;
import org.cranberrystand.wire.bundle.PushedBundle;
import org.cranberrystand.wire.bundle.SignedBundle;

/** Reads and writes bundle files and other files of the tool. Stateless. */
final class BundleFiles {

  private BundleFiles() {}

  /**
   * A valid bundle with its TOML text.
   *
   * @param text the TOML text of the bundle or of its manifest
   * @param bundle the bundle parsed from the text
   */
  record ParsedBundle(String text, Bundle bundle) {}

  /**
   * Reads and validates a bundle, in TOML or signed form.
   *
   * <p>The parts of a split bundle are read from {@link #partDirectory}.
   *
   * @param file the file
   * @return the bundle; signatures are not verified
   * @throws CommandException if the file cannot be read or the bundle is invalid
   */
  static ParsedBundle read(Path file) {
    String text = readText(file);
    if (text.stripLeading().startsWith("{")) {
      text = readSigned(file).bundle();
    }
    BundlePartCache parts = readParts(file, text);
    Checked<Bundle> checked = BundleParser.parse(file.toString(), text, parts::find);
    if (checked instanceof Checked.Invalid<Bundle> invalid) {
      throw CommandException.invalid(invalid.findings());
    }
    return new ParsedBundle(text, checked.orElseThrow());
  }

  /**
   * Reads a signed bundle.
   *
   * @param file the file
   * @return the signed bundle; its signatures are not verified
   * @throws CommandException if the file cannot be read or has no signature
   */
  static SignedBundle readSigned(Path file) {
    try {
      byte[] bytes = readText(file).getBytes(StandardCharsets.UTF_8);
      SignedBundle signed = Json.read(bytes, SignedBundle.class);
      if (!signed.signatures().isEmpty()) {
        return signed;
      }
    } catch (IOException e) {
      throw CommandException.invalid(
          file + " is not a signed bundle", "create one with \"cranberrystand bundle sign\"");
    }
    throw CommandException.invalid(
        file + " has no signature", "create one with \"cranberrystand bundle sign\"");
  }

  /**
   * Reads a signed bundle together with those of its parts that exist in {@link #partDirectory}.
   *
   * @param file the file of the signed bundle
   * @return the document to send to a node
   */
  static PushedBundle readForPush(Path file) {
    SignedBundle signed = readSigned(file);
    BundlePartCache cache = readParts(file, signed.bundle());
    ImmutableMap.Builder<String, String> parts = ImmutableMap.builder();
    for (String digest : BundleParser.partDigests(signed.bundle())) {
      cache.findText(digest).ifPresent(text -> parts.put(digest, text));
    }
    return PushedBundle.of(signed, parts.buildOrThrow());
  }

  /**
   * Returns the directory with the parts of a split bundle, one file per part, named by digest.
   *
   * @param file the file of the bundle
   * @return the directory next to the file; it exists only if the bundle is split
   */
  static Path partDirectory(Path file) {
    return file.resolveSibling(file.getFileName() + ".parts");
  }

  private static BundlePartCache readParts(Path file, String text) {
    BundlePartCache parts = new BundlePartCache();
    for (String digest : BundleParser.partDigests(text)) {
      Path part = partDirectory(file).resolve(digest);
      if (digest.matches("[0-9a-f]{64}")
          && Files.exists(part)
          && parts.add(digest, readText(part)) instanceof Checked.Invalid<BundlePart> invalid) {
        throw CommandException.invalid(invalid.findings());
      }
    }
    return parts;
  }

  static String readText(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw CommandException.invalid(
          "cannot read " + file + ": " + e, "specify a readable text file");
    }
  }

  /**
   * Writes a text file, or only checks that this is allowed.
   *
   * @param file the file; it must not exist unless {@code overwrite} is set
   * @param text the content
   * @param overwrite whether an existing file is overwritten
   * @param dryRun whether to skip the write
   */
  static void write(Path file, String text, boolean overwrite, boolean dryRun) {
    if (!overwrite && Files.exists(file)) {
      throw CommandException.invalid(
          file + " already exists", "specify another file, or overwrite it with --force");
    }
    if (dryRun) {
      return;
    }
    try {
      Files.writeString(
          file,
          text,
          StandardOpenOption.CREATE,
          StandardOpenOption.TRUNCATE_EXISTING,
          StandardOpenOption.WRITE);
    } catch (IOException e) {
      throw CommandException.failed("cannot write " + file + ": " + e, "specify a writable file");
    }
  }
}

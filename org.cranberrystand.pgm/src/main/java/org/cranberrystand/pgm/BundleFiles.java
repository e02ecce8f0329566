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

/** Reads and writes the files of the tool. Stateless. */
final class BundleFiles {

  private BundleFiles() {}

  /**
   * A bundle file.
   *
   * @param text the TOML text
   * @param bundle the bundle read from it
   */
  record Content(String text, Bundle bundle) {}

  /**
   * Reads a bundle from TOML or from the signed form.
   *
   * <p>Parts are read from the directory that {@link #partDirectory} names.
   *
   * @param file the file
   * @return the content; a signature is not verified
   */
  static Content read(Path file) {
    String text = readText(file);
    if (text.stripLeading().startsWith("{")) {
      text = readSigned(file).bundle();
    }
    BundlePartCache parts = readParts(file, text);
    Checked<Bundle> checked = BundleParser.parse(file.toString(), text, parts::find);
    if (checked instanceof Checked.Invalid<Bundle> invalid) {
      throw CommandFailure.invalid(invalid.findings());
    }
    return new Content(text, checked.orElseThrow());
  }

  /**
   * Reads a signed bundle.
   *
   * @param file the file
   * @return the signed bundle; the signature is not verified
   */
  static SignedBundle readSigned(Path file) {
    try {
      byte[] bytes = readText(file).getBytes(StandardCharsets.UTF_8);
      SignedBundle signed = Json.read(bytes, SignedBundle.class);
      if (!signed.signatures().isEmpty()) {
        return signed;
      }
    } catch (IOException e) {
      throw CommandFailure.invalid(
          file + " is not a signed bundle", "create one with \"cranberrystand bundle sign\"");
    }
    throw CommandFailure.invalid(
        file + " has no signature", "create one with \"cranberrystand bundle sign\"");
  }

  /**
   * Reads a signed bundle with the parts that are found beside it.
   *
   * @param file the file of the signed bundle
   * @return the document to hand to a node
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
   * Returns the directory with the parts of a bundle, each named by its digest.
   *
   * @param file the file of the bundle
   * @return the directory beside the file; exists only for a bundle in parts
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
        throw CommandFailure.invalid(invalid.findings());
      }
    }
    return parts;
  }

  static String readText(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw CommandFailure.invalid("cannot read " + file + ": " + e, "name a readable text file");
    }
  }

  /**
   * Writes a file, or says that it would.
   *
   * @param file the file; must not exist unless it may be replaced
   * @param text the text
   * @param replace whether an existing file is replaced
   * @param dryRun whether nothing is written
   */
  static void write(Path file, String text, boolean replace, boolean dryRun) {
    if (!replace && Files.exists(file)) {
      throw CommandFailure.invalid(
          file + " exists already", "name another file, or allow its replacement with --force");
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
      throw CommandFailure.failed("cannot write " + file + ": " + e, "name a writable file");
    }
  }
}

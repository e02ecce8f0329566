package org.cranberrystand.wire.bundle;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.List;
import java.util.regex.Pattern;
import org.cranberrystand.bundle.Bundle;

/**
 * Rewrites the text of a bundle so that nodes accept it as the successor of another bundle.
 *
 * <p>Only the lines with the version and the predecessor change; comments and layout are kept.
 * Stateless.
 */
public final class BundleRevision {
  private static final Pattern VERSION_OR_PREDECESSOR =
      Pattern.compile("\\s*(version|predecessor|\"version\"|\"predecessor\")\\s*=.*");
  private static final Pattern TABLE_HEADER = Pattern.compile("\\s*\\[.*");

  private BundleRevision() {}

  /**
   * Creates the text of the successor of a bundle.
   *
   * @param text the TOML text with the target content
   * @param target the bundle parsed from the text
   * @param current the bundle to replace
   * @return the text with the version after the current one and the current digest as predecessor
   * @throws IllegalArgumentException if the text has version or predecessor in a form that cannot
   *     be replaced line by line
   */
  public static String createSuccessor(String text, Bundle target, Bundle current) {
    ImmutableList.Builder<String> lines = ImmutableList.builder();
    lines.add("version = " + (current.version() + 1));
    lines.add("predecessor = \"" + current.digest() + "\"");
    List<String> oldLines = text.lines().toList();
    int firstHeader = Iterables.indexOf(oldLines, line -> TABLE_HEADER.matcher(line).matches());
    int preambleEnd = firstHeader < 0 ? oldLines.size() : firstHeader;
    oldLines.subList(0, preambleEnd).stream()
        .filter(line -> !VERSION_OR_PREDECESSOR.matcher(line).matches())
        .forEach(lines::add);
    lines.addAll(oldLines.subList(preambleEnd, oldLines.size()));
    String revised = String.join("\n", lines.build()) + "\n";
    verifySuccessor(revised, target, current);
    return revised;
  }

  private static void verifySuccessor(String revised, Bundle target, Bundle current) {
    Bundle result;
    try {
      result = BundleParser.parse("revised bundle", revised).orElseThrow();
    } catch (IllegalStateException e) {
      throw new IllegalArgumentException(
          "write version and predecessor on lines of their own before the first table", e);
    }
    if (result.version() != current.version() + 1
        || !result.predecessorDigest().equals(current.digest())
        || !BundleDiff.between(target, result).isEmpty()) {
      throw new IllegalArgumentException(
          "write version and predecessor on lines of their own before the first table");
    }
  }
}

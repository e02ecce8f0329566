package org.cranberrystand.wire.bundle;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Iterables;
import java.util.List;
import java.util.regex.Pattern;
import org.cranberrystand.bundle.Bundle;

/**
 * Writes the content of one bundle as the successor of another one.
 *
 * <p>Only the lines of version and predecessor change, so comments and layout are kept. Stateless.
 */
public final class BundleRevision {
  private static final Pattern VERSION_OR_PREDECESSOR =
      Pattern.compile("\\s*(version|predecessor|\"version\"|\"predecessor\")\\s*=.*");
  private static final Pattern TABLE_HEADER = Pattern.compile("\\s*\\[.*");

  private BundleRevision() {}

  /**
   * Writes a successor.
   *
   * @param text the TOML text of the wanted content
   * @param wanted the bundle read from the text
   * @param current the bundle to succeed
   * @return TOML text with the next version, the digest of its predecessor and the wanted content
   * @throws IllegalArgumentException if version or predecessor are written in a form that cannot be
   *     replaced line by line
   */
  public static String succeed(String text, Bundle wanted, Bundle current) {
    ImmutableList.Builder<String> lines = ImmutableList.builder();
    lines.add("version = " + (current.version() + 1));
    lines.add("predecessor = \"" + current.digest() + "\"");
    List<String> old = text.lines().toList();
    int header = Iterables.indexOf(old, line -> TABLE_HEADER.matcher(line).matches());
    int end = header < 0 ? old.size() : header;
    old.subList(0, end).stream()
        .filter(line -> !VERSION_OR_PREDECESSOR.matcher(line).matches())
        .forEach(lines::add);
    lines.addAll(old.subList(end, old.size()));
    String revised = String.join("\n", lines.build()) + "\n";
    verify(revised, wanted, current);
    return revised;
  }

  private static void verify(String revised, Bundle wanted, Bundle current) {
    Bundle result;
    try {
      result = BundleParser.parse("revised bundle", revised).orElseThrow();
    } catch (IllegalStateException e) {
      throw new IllegalArgumentException(
          "write version and predecessor on lines of their own before the first table", e);
    }
    if (result.version() != current.version() + 1
        || !result.predecessorDigest().equals(current.digest())
        || !BundleDiff.between(wanted, result).isEmpty()) {
      throw new IllegalArgumentException(
          "write version and predecessor on lines of their own before the first table");
    }
  }
}

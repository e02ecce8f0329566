package org.cranberrystand.wire.bundle;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Findings;

/**
 * Parts known to a node, by digest.
 *
 * <p>Keeps the text, to serve it to other nodes, and the parsed content, so that a new version
 * parses only the parts that changed. Safe for use by several threads.
 */
public final class BundlePartCache {

  private record Held(String text, BundlePart part) {}

  private final Map<String, Held> parts = new ConcurrentHashMap<>();

  /**
   * Adds a part from an untrusted source.
   *
   * @param digest the digest by which the part was asked for
   * @param text the text that was received
   * @return the part, or why it is refused; a text with another digest is refused
   */
  public Checked<BundlePart> add(String digest, String text) {
    String file = "part " + digest;
    if (!BundleParser.digestOf(text).equals(digest)) {
      Findings findings = new Findings(file);
      findings.add(0, "", "the content does not have this digest");
      return new Checked.Invalid<>(findings.toList());
    }
    Checked<BundlePart> part = BundlePart.parse(file, text);
    if (part instanceof Checked.Valid<BundlePart> valid) {
      parts.put(digest, new Held(text, valid.value()));
    }
    return part;
  }

  public Optional<BundlePart> find(String digest) {
    return Optional.ofNullable(parts.get(digest)).map(Held::part);
  }

  public Optional<String> text(String digest) {
    return Optional.ofNullable(parts.get(digest)).map(Held::text);
  }

  /**
   * Tells which parts have to be fetched.
   *
   * @param digests the parts of a bundle
   * @return the digests that are not held, in the given order
   */
  public ImmutableList<String> missing(Collection<String> digests) {
    return digests.stream()
        .filter(digest -> !parts.containsKey(digest))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Drops the parts that are no longer needed.
   *
   * @param digests the parts to keep
   */
  public void retain(ImmutableSet<String> digests) {
    parts.keySet().retainAll(digests);
  }

  /**
   * Returns the number of parts held.
   *
   * @return the number of parts
   */
  public int size() {
    return parts.size();
  }
}

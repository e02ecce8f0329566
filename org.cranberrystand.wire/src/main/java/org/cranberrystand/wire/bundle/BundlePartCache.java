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
 * Bundle parts by digest.
 *
 * <p>Keeps the text, which is served to other nodes, and the parsed content, so that a new bundle
 * version parses only the parts that changed. Thread-safe.
 */
public final class BundlePartCache {

  private record CachedPart(String text, BundlePart part) {}

  private final Map<String, CachedPart> parts = new ConcurrentHashMap<>();

  /**
   * Adds a part from an untrusted source.
   *
   * @param digest the requested digest
   * @param text the received TOML text
   * @return the part, or all findings; a text whose digest differs is not added
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
      parts.put(digest, new CachedPart(text, valid.value()));
    }
    return part;
  }

  public Optional<BundlePart> find(String digest) {
    return Optional.ofNullable(parts.get(digest)).map(CachedPart::part);
  }

  public Optional<String> findText(String digest) {
    return Optional.ofNullable(parts.get(digest)).map(CachedPart::text);
  }

  /**
   * Returns the parts that have to be fetched.
   *
   * @param digests the digests of the parts of a bundle
   * @return the digests that are not in the cache, in the given order
   */
  public ImmutableList<String> findMissing(Collection<String> digests) {
    return digests.stream()
        .filter(digest -> !parts.containsKey(digest))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Removes all other parts.
   *
   * @param digests the digests of the parts to keep
   */
  public void retain(ImmutableSet<String> digests) {
    parts.keySet().retainAll(digests);
  }

  /**
   * Returns the number of cached parts.
   *
   * @return the number of parts
   */
  public int size() {
    return parts.size();
  }
}

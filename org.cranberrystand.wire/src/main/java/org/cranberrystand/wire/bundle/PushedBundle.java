package org.cranberrystand.wire.bundle;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;

/**
 * Signed bundle with its parts, as an operator hands it to a node.
 *
 * @param bundle the TOML text
 * @param signatures the signatures over the UTF-8 bytes of the text
 * @param parts the texts of the parts by digest; empty for a bundle without parts
 */
public record PushedBundle(
    String bundle, List<SignedBundle.Signature> signatures, Map<String, String> parts) {

  /** Copies the parts and replaces absent values, since the document comes from outside. */
  public PushedBundle {
    parts = parts == null ? ImmutableMap.of() : ImmutableMap.copyOf(parts);
  }

  /**
   * Joins a signed bundle and its parts.
   *
   * @param signed the signed bundle
   * @param parts the texts of the parts by digest
   * @return the document to send
   */
  public static PushedBundle of(SignedBundle signed, Map<String, String> parts) {
    return new PushedBundle(signed.bundle(), signed.signatures(), parts);
  }

  /**
   * Returns the bundle without its parts.
   *
   * @return the signed bundle
   */
  public SignedBundle signed() {
    return new SignedBundle(bundle, signatures);
  }
}

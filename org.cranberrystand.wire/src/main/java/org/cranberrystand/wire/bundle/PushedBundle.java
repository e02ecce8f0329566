package org.cranberrystand.wire.bundle;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;

/**
 * Signed bundle with its parts, as an operator pushes it to a node.
 *
 * @param bundle the TOML text
 * @param signatures the signatures over the UTF-8 bytes of the text
 * @param parts the TOML texts of the parts by digest; empty for a bundle without parts
 */
public record PushedBundle(
    String bundle, List<SignedBundle.Signature> signatures, Map<String, String> parts) {

  /** Copies the parts; untrusted input may lack them. */
  public PushedBundle {
    parts = parts == null ? ImmutableMap.of() : ImmutableMap.copyOf(parts);
  }

  /**
   * Combines a signed bundle with its parts.
   *
   * @param signed the signed bundle
   * @param parts the TOML texts of the parts by digest
   * @return the document to send
   */
  public static PushedBundle of(SignedBundle signed, Map<String, String> parts) {
    return new PushedBundle(signed.bundle(), signed.signatures(), parts);
  }

  /**
   * Returns the signed bundle without the texts of its parts.
   *
   * @return the signed bundle
   */
  public SignedBundle toSignedBundle() {
    return new SignedBundle(bundle, signatures);
  }
}

package org.cranberrystand.wire.bundle;

import java.util.List;

/**
 * Bundle text with the signatures of operators, as published and as exchanged between nodes.
 *
 * @param bundle the TOML text
 * @param signatures the signatures over the UTF-8 bytes of the text
 */
public record SignedBundle(String bundle, List<Signature> signatures) {

  /** Copies the signatures; untrusted input may lack either value. */
  public SignedBundle {
    signatures = signatures == null ? List.of() : List.copyOf(signatures);
    bundle = bundle == null ? "" : bundle;
  }

  /**
   * One signature.
   *
   * @param keyId the identifier of the key
   * @param signature the Ed25519 signature in Base64
   */
  public record Signature(String keyId, String signature) {}
}

package org.cranberrystand.wire.bundle;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.spec.PKCS8EncodedKeySpec;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Findings;

/** Signs bundles with Ed25519 and verifies their signatures. Immutable and thread-safe. */
public final class BundleSignatures {
  private static final String ALGORITHM = "Ed25519";

  private final ImmutableMap<String, PublicKey> trustedKeys;

  /**
   * Creates a verifier.
   *
   * @param trustedKeys public keys in Base64 (X.509 encoding) by key identifier
   * @throws IllegalArgumentException if a key is malformed
   */
  public BundleSignatures(Map<String, String> trustedKeys) {
    ImmutableMap.Builder<String, PublicKey> keys = ImmutableMap.builder();
    trustedKeys.forEach((id, key) -> keys.put(id, decodePublicKey(key)));
    this.trustedKeys = keys.buildOrThrow();
  }

  /**
   * Generates a key pair.
   *
   * @return a new pair
   */
  public static KeyPair generateKeyPair() {
    try {
      return KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java runtime does not support Ed25519", e);
    }
  }

  /**
   * Signs a bundle.
   *
   * @param text the TOML text
   * @param keyId the identifier of the key
   * @param key the private key
   * @return the signed bundle
   */
  public static SignedBundle sign(String text, String keyId, PrivateKey key) {
    try {
      java.security.Signature signer = java.security.Signature.getInstance(ALGORITHM);
      signer.initSign(key);
      signer.update(text.getBytes(StandardCharsets.UTF_8));
      String signature = Base64.getEncoder().encodeToString(signer.sign());
      return new SignedBundle(text, List.of(new SignedBundle.Signature(keyId, signature)));
    } catch (GeneralSecurityException e) {
      throw new IllegalArgumentException("cannot sign with key " + keyId, e);
    }
  }

  /**
   * Verifies and parses a bundle without parts.
   *
   * @param source the origin of the bundle to report in findings
   * @param signed the signed bundle
   * @return the bundle, or the findings for which it is refused
   */
  public Checked<Bundle> verify(String source, SignedBundle signed) {
    return verify(source, signed, digest -> Optional.empty());
  }

  /**
   * Verifies and parses a bundle together with its parts.
   *
   * <p>The signed text lists the digests of the parts, so the signature authenticates them too.
   *
   * @param source the origin of the bundle to report in findings
   * @param signed the signed bundle
   * @param partByDigest looks up the parts that the bundle lists
   * @return the bundle, or the findings for which it is refused
   */
  public Checked<Bundle> verify(
      String source, SignedBundle signed, Function<String, Optional<BundlePart>> partByDigest) {
    if (isTrusted(signed)) {
      return BundleParser.parse(source, signed.bundle(), partByDigest);
    }
    Findings findings = new Findings(source);
    findings.add(0, "", "is not signed by a trusted key");
    return new Checked.Invalid<>(findings.toList());
  }

  /**
   * Returns whether a trusted key signed a bundle, without parsing its text.
   *
   * @param signed the signed bundle
   * @return true if at least one signature of a trusted key is valid
   */
  public boolean isTrusted(SignedBundle signed) {
    return signed.signatures().stream().anyMatch(s -> isValid(signed.bundle(), s));
  }

  private boolean isValid(String text, SignedBundle.Signature signature) {
    PublicKey key = signature.keyId() == null ? null : trustedKeys.get(signature.keyId());
    if (key == null || signature.signature() == null) {
      return false;
    }
    try {
      java.security.Signature verifier = java.security.Signature.getInstance(ALGORITHM);
      verifier.initVerify(key);
      verifier.update(text.getBytes(StandardCharsets.UTF_8));
      return verifier.verify(Base64.getDecoder().decode(signature.signature()));
    } catch (GeneralSecurityException | IllegalArgumentException e) {
      return false;
    }
  }

  /**
   * Encodes a key.
   *
   * @param key a public or private key
   * @return the X.509 encoding of a public key or the PKCS #8 encoding of a private key, in Base64
   */
  public static String encodeKey(java.security.Key key) {
    return Base64.getEncoder().encodeToString(key.getEncoded());
  }

  /**
   * Decodes a private key.
   *
   * @param text the PKCS #8 encoding in Base64
   * @return the key
   * @throws IllegalArgumentException if the text is malformed
   */
  public static PrivateKey decodePrivateKey(String text) {
    try {
      byte[] bytes = Base64.getDecoder().decode(text.strip());
      return KeyFactory.getInstance(ALGORITHM).generatePrivate(new PKCS8EncodedKeySpec(bytes));
    } catch (GeneralSecurityException e) {
      throw new IllegalArgumentException("not an Ed25519 private key", e);
    }
  }

  private static PublicKey decodePublicKey(String text) {
    try {
      byte[] bytes = Base64.getDecoder().decode(text.strip());
      return KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(bytes));
    } catch (GeneralSecurityException e) {
      throw new IllegalArgumentException("not an Ed25519 public key", e);
    }
  }
}

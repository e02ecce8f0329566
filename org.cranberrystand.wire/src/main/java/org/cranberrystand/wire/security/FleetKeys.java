package org.cranberrystand.wire.security;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Derives the keys that the nodes of a fleet share from the fleet keys in their settings.
 *
 * <p>Each use has a separate derived key, so that a MAC for one use is never valid for another. The
 * first fleet key signs, and all of them verify, so that keys can be rotated. Immutable.
 */
public final class FleetKeys {

  /** Uses of a fleet key. The names of the constants are part of the key derivation. */
  public enum Use {
    /** Signing request identifiers. */
    IDENTIFIER,
    /** Signing resume references. */
    RESUME,
    /** Signing calls between nodes. */
    PEER
  }

  private final ImmutableList<byte[]> secrets;

  /**
   * Creates an instance.
   *
   * @param fleetKeys the fleet keys from the settings, the signing key first; at least one
   */
  public FleetKeys(List<String> fleetKeys) {
    if (fleetKeys.isEmpty()) {
      throw new IllegalArgumentException("at least one fleet key is needed");
    }
    this.secrets =
        fleetKeys.stream()
            .map(key -> key.getBytes(StandardCharsets.UTF_8))
            .collect(ImmutableList.toImmutableList());
  }

  /**
   * Derives the keys for one use.
   *
   * @param use the use
   * @return one derived key per fleet key, in the same order
   */
  public ImmutableList<byte[]> keysFor(Use use) {
    return secrets.stream()
        .map(
            secret ->
                Hashing.hmacSha256(secret).hashString(use.name(), StandardCharsets.UTF_8).asBytes())
        .collect(ImmutableList.toImmutableList());
  }
}

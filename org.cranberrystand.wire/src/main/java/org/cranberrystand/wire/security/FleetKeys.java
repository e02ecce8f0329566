package org.cranberrystand.wire.security;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Keys shared by the nodes of a fleet, derived from the fleet keys in their settings.
 *
 * <p>Each use has a key of its own, so that a code made for one use is never valid for another. The
 * first fleet key signs; all of them verify, so that keys can be rotated. Immutable.
 */
public final class FleetKeys {

  /** Uses of the fleet key. */
  public enum Use {
    /** Request identifiers. */
    IDENTIFIER,
    /** Resume references. */
    RESUME,
    /** Calls between nodes. */
    PEER
  }

  private final ImmutableList<byte[]> secrets;

  /**
   * Creates the keys.
   *
   * @param fleetKeys the secrets from settings, the signing one first; at least one
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
   * @return one key per fleet key, in their order
   */
  public ImmutableList<byte[]> keysFor(Use use) {
    return secrets.stream()
        .map(s -> Hashing.hmacSha256(s).hashString(use.name(), StandardCharsets.UTF_8).asBytes())
        .collect(ImmutableList.toImmutableList());
  }
}

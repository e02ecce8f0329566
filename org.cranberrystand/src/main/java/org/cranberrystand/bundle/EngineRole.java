package org.cranberrystand.bundle;

import java.util.Locale;
import java.util.Optional;

/** What an engine does for its model. */
public enum EngineRole {
  /** Prefill and decode. */
  MIXED,
  /** Prefill only; the KV cache is exported to a decoding engine. */
  PREFILL,
  /** Decode only. */
  DECODE;

  /**
   * Returns the name used in bundles and orders.
   *
   * @return the lower-case name
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Finds a role by its label.
   *
   * @param label the lower-case name
   * @return the role, or empty if there is none of that name
   */
  public static Optional<EngineRole> fromLabel(String label) {
    for (EngineRole role : values()) {
      if (role.label().equals(label)) {
        return Optional.of(role);
      }
    }
    return Optional.empty();
  }
}

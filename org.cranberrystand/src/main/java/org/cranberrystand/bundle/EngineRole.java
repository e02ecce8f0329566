package org.cranberrystand.bundle;

import java.util.Locale;
import java.util.Optional;

/** Phases of inference that an engine runs. */
public enum EngineRole {
  /** Prefill and decode. */
  MIXED,
  /** Prefill only; the KV cache is transferred to a decode engine. */
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
   * Returns the role with a label.
   *
   * @param label the lower-case name
   * @return the role, or empty if no role has this label
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

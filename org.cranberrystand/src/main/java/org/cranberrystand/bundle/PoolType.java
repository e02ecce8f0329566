package org.cranberrystand.bundle;

import java.util.Locale;
import java.util.Optional;

/** Kind of upstream behind a pool. */
public enum PoolType {
  /** Language-model engines that batch continuously and stream tokens. */
  MODEL(true),
  /** Plain services that answer a call with one response. */
  SERVICE(false);

  private final boolean streaming;

  PoolType(boolean streaming) {
    this.streaming = streaming;
  }

  /**
   * Tells whether answers of these upstreams arrive as resumable event streams.
   *
   * @return true for engines
   */
  public boolean isStreaming() {
    return streaming;
  }

  /**
   * Returns the name used in bundles.
   *
   * @return the lower-case name
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Finds a type by its label.
   *
   * @param label the lower-case name
   * @return the type, or empty if there is none of that name
   */
  public static Optional<PoolType> fromLabel(String label) {
    for (PoolType type : values()) {
      if (type.label().equals(label)) {
        return Optional.of(type);
      }
    }
    return Optional.empty();
  }
}

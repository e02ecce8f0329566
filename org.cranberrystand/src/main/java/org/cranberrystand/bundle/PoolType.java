package org.cranberrystand.bundle;

import java.util.Locale;
import java.util.Optional;

/** Type of the upstreams in a pool. */
public enum PoolType {
  /** Language-model engines with continuous batching and token streaming. */
  MODEL(true),
  /** Plain services that return one response per request. */
  SERVICE(false);

  private final boolean streaming;

  PoolType(boolean streaming) {
    this.streaming = streaming;
  }

  /**
   * Returns whether these upstreams answer with resumable event streams.
   *
   * @return true for language-model engines
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
   * Returns the type with a label.
   *
   * @param label the lower-case name
   * @return the type, or empty if no type has this label
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

package org.cranberrystand.bundle;

import java.util.Locale;
import java.util.Optional;

/**
 * Priority tier of a kind of work, from most to least urgent. Load shedding starts with the last.
 */
public enum Tier {
  /** Interactive work; a customer waits for the answer. */
  URGENT,
  /** Routine work that should complete soon. */
  STANDARD,
  /** Work that may be delayed but must complete. */
  DEFERRABLE;

  /**
   * Returns whether work of this tier is shed before work of another tier.
   *
   * @param other the tier to compare with
   * @return true if this tier is less urgent
   */
  public boolean isLessUrgentThan(Tier other) {
    return compareTo(other) > 0;
  }

  /**
   * Returns the name used in bundles and reports.
   *
   * @return the lower-case name
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the tier with a label.
   *
   * @param label the lower-case name
   * @return the tier, or empty if no tier has this label
   */
  public static Optional<Tier> fromLabel(String label) {
    for (Tier tier : values()) {
      if (tier.label().equals(label)) {
        return Optional.of(tier);
      }
    }
    return Optional.empty();
  }
}

package org.cranberrystand.bundle;

import java.util.Locale;
import java.util.Optional;

/** Urgency of a kind of work. The order of the constants is the order of shedding, last first. */
public enum Tier {
  /** A customer is waiting for the answer. */
  URGENT,
  /** Work of the day that is wanted soon. */
  STANDARD,
  /** Work that may wait but has to finish. */
  DEFERRABLE;

  /**
   * Tells whether work of this tier is shed before work of another tier.
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
   * Finds a tier by its label.
   *
   * @param label the lower-case name
   * @return the tier, or empty if there is none of that name
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

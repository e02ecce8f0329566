package org.cranberrystand.bundle;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds the active bundle of a node.
 *
 * <p>The active bundle is replaced only by a verified bundle with a higher version, so its version
 * never decreases. Thread-safe and lock-free; readers get an immutable snapshot.
 */
public final class BundleHolder {

  /** Result of offering a bundle. */
  public enum OfferResult {
    /** The offered bundle is now active. */
    ACCEPTED,
    /** The offered bundle was already active. */
    ALREADY_IN_FORCE,
    /** The active bundle has a higher version. */
    OLDER,
    /** The active bundle has the same version but different content. */
    CONFLICT
  }

  private final AtomicReference<Bundle> activeBundle = new AtomicReference<>();

  /**
   * Returns the active bundle.
   *
   * @return the bundle, or empty if none was accepted yet
   */
  public Optional<Bundle> current() {
    return Optional.ofNullable(activeBundle.get());
  }

  /**
   * Activates a bundle if its version is higher than that of the active bundle.
   *
   * @param candidate a bundle whose signature was verified
   * @return whether the bundle was activated, or why it was not
   */
  public OfferResult offer(Bundle candidate) {
    while (true) {
      Bundle active = activeBundle.get();
      if (active != null && candidate.version() <= active.version()) {
        return compareWithActive(candidate, active);
      }
      if (activeBundle.compareAndSet(active, candidate)) {
        return OfferResult.ACCEPTED;
      }
    }
  }

  private static OfferResult compareWithActive(Bundle candidate, Bundle active) {
    if (candidate.version() < active.version()) {
      return OfferResult.OLDER;
    }
    return candidate.digest().equals(active.digest())
        ? OfferResult.ALREADY_IN_FORCE
        : OfferResult.CONFLICT;
  }
}

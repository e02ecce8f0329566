package org.cranberrystand.bundle;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The bundle in force on one node.
 *
 * <p>Only a verified bundle with a higher version replaces the one in force, so the version never
 * decreases. Safe for use by several threads; readers take an immutable snapshot without a lock.
 */
public final class BundleRegister {

  /** Result of offering a bundle. */
  public enum Acceptance {
    /** The bundle is in force now. */
    ACCEPTED,
    /** The same bundle is in force already. */
    ALREADY_IN_FORCE,
    /** A newer version is in force. */
    OLDER,
    /** Another content is in force under the same version. */
    CONFLICT
  }

  private final AtomicReference<Bundle> inForce = new AtomicReference<>();

  /**
   * Returns the bundle in force.
   *
   * @return the bundle, or empty before the first one was accepted
   */
  public Optional<Bundle> current() {
    return Optional.ofNullable(inForce.get());
  }

  /**
   * Offers a bundle whose signature was verified.
   *
   * @param candidate the verified bundle
   * @return what became of it
   */
  public Acceptance offer(Bundle candidate) {
    while (true) {
      Bundle current = inForce.get();
      if (current != null && candidate.version() <= current.version()) {
        return compareWithCurrent(candidate, current);
      }
      if (inForce.compareAndSet(current, candidate)) {
        return Acceptance.ACCEPTED;
      }
    }
  }

  private static Acceptance compareWithCurrent(Bundle candidate, Bundle current) {
    if (candidate.version() < current.version()) {
      return Acceptance.OLDER;
    }
    return candidate.digest().equals(current.digest())
        ? Acceptance.ALREADY_IN_FORCE
        : Acceptance.CONFLICT;
  }
}

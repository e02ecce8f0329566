package org.cranberrystand.membership;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Identifies one state of the published values.
 *
 * <p>A store that is restored from a copy loses its latest changes and assigns their revisions
 * again, in a new era. A revision therefore identifies a state only within its era. Immutable.
 *
 * @param era how often the store was restored from a copy; 0 if it does not say
 * @param revision the revision up to which changes are included; 0 if nothing was read yet
 */
public record PublishedVersion(long era, long revision) implements Comparable<PublishedVersion> {
  /** The version of a node that has read nothing yet. */
  public static final PublishedVersion NONE = new PublishedVersion(0, 0);

  private static final Comparator<PublishedVersion> ORDER =
      Comparator.comparingLong(PublishedVersion::era).thenComparingLong(PublishedVersion::revision);

  /**
   * Returns whether another version belongs to the same era, so that revisions can be compared.
   *
   * @param other the other version
   * @return true if no restoration lies between the two
   */
  public boolean isSameEra(PublishedVersion other) {
    return era == other.era;
  }

  /**
   * Returns whether this version replaces another one.
   *
   * @param other the other version
   * @return true if this version is of a later era, or of a later revision of the same era
   */
  public boolean isNewerThan(PublishedVersion other) {
    return compareTo(other) > 0;
  }

  /**
   * Parses the text that {@link #toString} returns.
   *
   * @param text the era and the revision, separated by a dot
   * @return the version, or empty if the text is malformed
   */
  public static Optional<PublishedVersion> parse(String text) {
    List<String> parts = Splitter.on('.').splitToList(text);
    Long era = parts.size() == 2 ? Longs.tryParse(parts.get(0)) : null;
    Long revision = era == null ? null : Longs.tryParse(parts.get(1));
    return revision == null ? Optional.empty() : Optional.of(new PublishedVersion(era, revision));
  }

  @Override
  public int compareTo(PublishedVersion other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return era + "." + revision;
  }
}

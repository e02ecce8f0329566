package org.cranberrystand.daemon.gateway;

import com.google.common.base.Preconditions;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.membership.PublishedVersion;

/**
 * All published values at one version.
 *
 * <p>Immutable.
 *
 * @param version the version up to which changes are included
 * @param values the values by key
 * @param deletions the revisions of recent deletions by key
 * @param deletionsKnownSince the revision since which {@code deletions} is complete
 */
public record PublishedState(
    PublishedVersion version,
    ImmutableMap<String, PublishedValue> values,
    ImmutableMap<String, Long> deletions,
    long deletionsKnownSince) {
  /** The state of a node that has read nothing yet. */
  public static final PublishedState EMPTY =
      new PublishedState(PublishedVersion.NONE, ImmutableMap.of());

  /** Limit of recorded deletions; a node that lacks older ones gets the complete state. */
  private static final int MAX_DELETIONS = 256;

  /**
   * Creates a state without known deletions.
   *
   * @param version the version up to which changes are included
   * @param values the values by key
   */
  public PublishedState(PublishedVersion version, ImmutableMap<String, PublishedValue> values) {
    this(version, values, ImmutableMap.of(), version.revision());
  }

  /** Returns how many characters the keys and values have. */
  long characterCount() {
    return values.values().stream()
        .mapToLong(value -> value.key().length() + value.text().length())
        .sum();
  }

  /**
   * Applies changes of the same era.
   *
   * @param newVersion the version after the changes
   * @param changes the changes in order
   * @return the new state
   */
  public PublishedState withChanges(PublishedVersion newVersion, List<PublishedValue> changes) {
    Preconditions.checkArgument(
        newVersion.isSameEra(version), "changes of %s do not apply to %s", newVersion, version);
    Map<String, PublishedValue> result = new LinkedHashMap<>(values);
    Map<String, Long> deleted = new LinkedHashMap<>(deletions);
    for (PublishedValue change : changes) {
      deleted.remove(change.key());
      if (change.isDeleted()) {
        result.remove(change.key());
        deleted.put(change.key(), change.revision());
      } else {
        result.put(change.key(), change);
      }
    }
    long knownSince = deletionsKnownSince;
    while (deleted.size() > MAX_DELETIONS) {
      Map.Entry<String, Long> oldest = deleted.entrySet().iterator().next();
      knownSince = Math.max(knownSince, oldest.getValue());
      deleted.remove(oldest.getKey());
    }
    return new PublishedState(
        newVersion.isNewerThan(version) ? newVersion : version,
        ImmutableMap.copyOf(result),
        ImmutableMap.copyOf(deleted),
        knownSince);
  }

  /**
   * Returns the update for another node.
   *
   * @param known the version that the other node has
   * @return the changes since that version, or the complete state if it is of another era or not
   *     all deletions are known
   */
  public PublishedUpdate updateSince(PublishedVersion known) {
    boolean snapshot = !known.isSameEra(version) || known.revision() < deletionsKnownSince;
    ImmutableList.Builder<PublishedValue> changes = ImmutableList.builder();
    values.values().stream()
        .filter(value -> snapshot || value.revision() > known.revision())
        .forEach(changes::add);
    if (!snapshot) {
      deletions.forEach(
          (key, deleted) -> {
            if (deleted > known.revision()) {
              changes.add(new PublishedValue(key, deleted, null));
            }
          });
    }
    return new PublishedUpdate(version, snapshot, changes.build());
  }
}

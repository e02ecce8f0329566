package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All published values at one revision.
 *
 * <p>Immutable.
 *
 * @param revision the revision up to which changes are included
 * @param values the values by key
 * @param deletions the revisions of recent deletions by key
 * @param deletionsKnownSince the revision since which {@code deletions} is complete
 */
public record PublishedState(
    long revision,
    ImmutableMap<String, PublishedValue> values,
    ImmutableMap<String, Long> deletions,
    long deletionsKnownSince) {
  /** The state of a node that has read nothing yet. */
  public static final PublishedState EMPTY = new PublishedState(0, ImmutableMap.of());

  /** Limit of recorded deletions; a node that lacks older ones gets the complete state. */
  private static final int MAX_DELETIONS = 256;

  /**
   * Creates a state without known deletions.
   *
   * @param revision the revision up to which changes are included
   * @param values the values by key
   */
  public PublishedState(long revision, ImmutableMap<String, PublishedValue> values) {
    this(revision, values, ImmutableMap.of(), revision);
  }

  /**
   * Applies changes.
   *
   * @param newRevision the revision after the changes
   * @param changes the changes in order
   * @return the new state
   */
  public PublishedState withChanges(long newRevision, List<PublishedValue> changes) {
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
        Math.max(revision, newRevision),
        ImmutableMap.copyOf(result),
        ImmutableMap.copyOf(deleted),
        knownSince);
  }

  /**
   * Returns the update for another node.
   *
   * @param knownRevision the revision that the other node has
   * @return the changes since that revision, or the complete state if not all deletions are known
   */
  public PublishedUpdate updateSince(long knownRevision) {
    boolean snapshot = knownRevision < deletionsKnownSince;
    ImmutableList.Builder<PublishedValue> changes = ImmutableList.builder();
    values.values().stream()
        .filter(value -> snapshot || value.revision() > knownRevision)
        .forEach(changes::add);
    if (!snapshot) {
      deletions.forEach(
          (key, deleted) -> {
            if (deleted > knownRevision) {
              changes.add(new PublishedValue(key, deleted, null));
            }
          });
    }
    return new PublishedUpdate(revision, snapshot, changes.build());
  }
}

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
 * @param revision the revision up to which changes are contained
 * @param values the values by key
 * @param deletions the latest deletions, by key with their revision
 * @param completeSince since which revision all deletions are known
 */
public record PublishedState(
    long revision,
    ImmutableMap<String, PublishedValue> values,
    ImmutableMap<String, Long> deletions,
    long completeSince) {
  /** Nothing known. */
  public static final PublishedState EMPTY = new PublishedState(0, ImmutableMap.of());

  /** Nodes that lag further behind read the whole state. */
  private static final int MAX_DELETIONS = 256;

  /**
   * Creates a state of which no earlier one is known.
   *
   * @param revision the revision up to which changes are contained
   * @param values the values by key
   */
  public PublishedState(long revision, ImmutableMap<String, PublishedValue> values) {
    this(revision, values, ImmutableMap.of(), revision);
  }

  /**
   * Applies changes.
   *
   * @param newRevision the revision after them
   * @param changes the changes in order
   * @return the state after them
   */
  public PublishedState with(long newRevision, List<PublishedValue> changes) {
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
    long complete = completeSince;
    while (deleted.size() > MAX_DELETIONS) {
      Map.Entry<String, Long> oldest = deleted.entrySet().iterator().next();
      complete = Math.max(complete, oldest.getValue());
      deleted.remove(oldest.getKey());
    }
    return new PublishedState(
        Math.max(revision, newRevision),
        ImmutableMap.copyOf(result),
        ImmutableMap.copyOf(deleted),
        complete);
  }

  /**
   * Returns what another node lacks.
   *
   * @param known the revision that it knows
   * @return the changes since, or the whole state if they are not known
   */
  public PublishedUpdate since(long known) {
    boolean whole = known < completeSince;
    ImmutableList.Builder<PublishedValue> changes = ImmutableList.builder();
    values.values().stream()
        .filter(value -> whole || value.revision() > known)
        .forEach(changes::add);
    if (!whole) {
      deletions.forEach(
          (key, deleted) -> {
            if (deleted > known) {
              changes.add(new PublishedValue(key, deleted, null));
            }
          });
    }
    return new PublishedUpdate(revision, whole, changes.build());
  }
}

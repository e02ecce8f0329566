package org.cranberrystand.daemon.gateway;

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
 */
public record PublishedState(long revision, ImmutableMap<String, PublishedValue> values) {
  /** Nothing known. */
  public static final PublishedState EMPTY = new PublishedState(0, ImmutableMap.of());

  /**
   * Applies changes.
   *
   * @param newRevision the revision after them
   * @param changes the changes in order
   * @return the state after them
   */
  public PublishedState with(long newRevision, List<PublishedValue> changes) {
    Map<String, PublishedValue> result = new LinkedHashMap<>(values);
    for (PublishedValue change : changes) {
      if (change.isDeleted()) {
        result.remove(change.key());
      } else {
        result.put(change.key(), change);
      }
    }
    return new PublishedState(Math.max(revision, newRevision), ImmutableMap.copyOf(result));
  }
}

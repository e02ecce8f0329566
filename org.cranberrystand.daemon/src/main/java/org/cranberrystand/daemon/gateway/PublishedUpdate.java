package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * What one node tells another of the published state. Immutable.
 *
 * @param revision the revision up to which changes are contained
 * @param whole whether these are all values, not only changes
 * @param values the values or changes
 */
public record PublishedUpdate(long revision, boolean whole, ImmutableList<PublishedValue> values) {

  /** Returns the state that a node has after this update. */
  PublishedState appliedTo(PublishedState known) {
    if (!whole) {
      return known.with(revision, values);
    }
    ImmutableMap.Builder<String, PublishedValue> all = ImmutableMap.builder();
    values.forEach(value -> all.put(value.key(), value));
    return new PublishedState(revision, all.buildKeepingLast());
  }
}

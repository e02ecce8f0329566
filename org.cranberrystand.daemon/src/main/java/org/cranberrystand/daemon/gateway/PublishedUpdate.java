package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * An update of the published state, sent from one node to another. Immutable.
 *
 * @param revision the revision up to which changes are included
 * @param isSnapshot whether {@code values} is the complete state instead of changes
 * @param values the values or changes
 */
public record PublishedUpdate(
    long revision, boolean isSnapshot, ImmutableList<PublishedValue> values) {

  /** Returns the state that results from applying this update. */
  PublishedState applyTo(PublishedState current) {
    if (!isSnapshot) {
      return current.withChanges(revision, values);
    }
    ImmutableMap.Builder<String, PublishedValue> all = ImmutableMap.builder();
    values.forEach(value -> all.put(value.key(), value));
    return new PublishedState(revision, all.buildKeepingLast());
  }
}

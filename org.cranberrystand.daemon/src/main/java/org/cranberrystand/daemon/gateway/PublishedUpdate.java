package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.cranberrystand.membership.PublishedVersion;

/**
 * An update of the published state, sent from one node to another. Immutable.
 *
 * @param version the version up to which changes are included
 * @param isSnapshot whether {@code values} is the complete state instead of changes
 * @param values the values or changes
 */
public record PublishedUpdate(
    PublishedVersion version, boolean isSnapshot, ImmutableList<PublishedValue> values) {

  /** Returns this update with values as far as nodes use them. */
  PublishedUpdate reducedBy(PublishedDecoder decoder) {
    return new PublishedUpdate(
        version,
        isSnapshot,
        values.stream().map(decoder::reduce).collect(ImmutableList.toImmutableList()));
  }

  /** Returns whether this update can be applied to a state of a version, and is newer. */
  boolean isApplicableTo(PublishedVersion current) {
    return version.isNewerThan(current) && (isSnapshot || version.isSameEra(current));
  }

  /** Returns the state that results from applying this update. */
  PublishedState applyTo(PublishedState current) {
    if (!isSnapshot) {
      return current.withChanges(version, values);
    }
    ImmutableMap.Builder<String, PublishedValue> all = ImmutableMap.builder();
    values.forEach(value -> all.put(value.key(), value));
    return new PublishedState(version, all.buildKeepingLast());
  }
}

package org.cranberrystand.upstream;

import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongUnaryOperator;

/**
 * The failure domains that operators have evacuated.
 *
 * <p>An evacuation that a restored source lacks was written after the copy was made. The operators
 * repeat such writes, so it stays in effect for a grace period. An evacuation that is missing for
 * any other reason was removed. Not thread-safe.
 */
final class EvacuatedDomains {
  private final Set<String> domains = new LinkedHashSet<>();
  private final Map<String, Long> missingUntilNanos = new HashMap<>();
  private long restoredUntilNanos = Long.MIN_VALUE;

  void started(String domain) {
    missingUntilNanos.remove(domain);
    domains.add(domain);
  }

  void ended(String domain) {
    missingUntilNanos.remove(domain);
    domains.remove(domain);
  }

  /** Replaces all evacuations with those of a full list. */
  void replaceAll(Set<String> listed, long nowNanos) {
    for (String domain : ImmutableSet.copyOf(domains)) {
      if (!listed.contains(domain)) {
        if (nowNanos < restoredUntilNanos) {
          missingUntilNanos.putIfAbsent(domain, restoredUntilNanos);
        } else {
          ended(domain);
        }
      }
    }
    listed.forEach(this::started);
  }

  /** Records that the source was restored from a copy, before its list is applied. */
  void sourceRestored(long untilNanos) {
    restoredUntilNanos = untilNanos;
    missingUntilNanos.replaceAll((domain, until) -> untilNanos);
  }

  /** Extends the grace period of missing evacuations, which cannot be repeated in an outage. */
  void extendGrace(LongUnaryOperator extension) {
    missingUntilNanos.replaceAll((domain, until) -> extension.applyAsLong(until));
  }

  /** Starts the grace period of missing evacuations again. */
  void restartGrace(long untilNanos) {
    missingUntilNanos.replaceAll((domain, until) -> untilNanos);
  }

  /** Ends the evacuations that were not repeated; returns true if there were any. */
  boolean expire(long nowNanos) {
    ImmutableSet<String> overdue =
        missingUntilNanos.entrySet().stream()
            .filter(entry -> nowNanos >= entry.getValue())
            .map(Map.Entry::getKey)
            .collect(ImmutableSet.toImmutableSet());
    overdue.forEach(this::ended);
    return !overdue.isEmpty();
  }

  boolean contains(String domain) {
    return domains.contains(domain);
  }

  ImmutableSet<String> all() {
    return ImmutableSet.copyOf(domains);
  }
}

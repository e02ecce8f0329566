package org.cranberrystand.upstream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Which software versions served each pool, as far back as all registrations are known.
 *
 * <p>An upstream counts as serving until its registration is removed, also while it is leaving. Not
 * thread-safe.
 */
public final class VersionHistory {
  private record Served(String pool, String softwareVersion) {
    static Served of(RegisteredUpstream upstream) {
      return new Served(upstream.pool(), upstream.softwareVersion());
    }
  }

  /** Versions of software are released now and then; more of them are no sound registrations. */
  private static final int MAX_DEPARTED = 256;

  private final Map<String, RegisteredUpstream> present = new HashMap<>();
  private final Set<String> unusableIds = new HashSet<>();
  private final Map<Served, Long> departedNanos = new HashMap<>();
  private long knownSinceNanos;

  /**
   * Creates a history that knows nothing from before now.
   *
   * @param nowNanos the current time, in nanoseconds
   */
  public VersionHistory(long nowNanos) {
    this.knownSinceNanos = nowNanos;
  }

  /**
   * Forgets everything, because changes may have been missed. The complete list of registrations
   * follows.
   *
   * @param nowNanos the current time, in nanoseconds
   */
  public void restart(long nowNanos) {
    present.clear();
    unusableIds.clear();
    departedNanos.clear();
    knownSinceNanos = nowNanos;
  }

  /**
   * Records a new or changed registration.
   *
   * @param upstream the registered upstream
   * @param nowNanos the current time, in nanoseconds
   */
  public void registered(RegisteredUpstream upstream, long nowNanos) {
    unusableIds.remove(upstream.id());
    RegisteredUpstream before = present.put(upstream.id(), upstream);
    if (before != null) {
      departed(before, nowNanos);
    }
  }

  /**
   * Records a registration that names no upstream to use.
   *
   * @param id the identifier under which it is published
   * @param nowNanos the current time, in nanoseconds
   */
  public void unusable(String id, long nowNanos) {
    RegisteredUpstream before = present.remove(id);
    if (before != null) {
      departed(before, nowNanos);
    }
    unusableIds.add(id);
  }

  /**
   * Records that a registration was removed. If it is not known, an upstream of any pool and
   * version may have served until now.
   *
   * @param id the identifier of the upstream
   * @param nowNanos the current time, in nanoseconds
   */
  public void removed(String id, long nowNanos) {
    RegisteredUpstream upstream = present.remove(id);
    if (upstream != null) {
      departed(upstream, nowNanos);
    } else if (!unusableIds.remove(id)) {
      knownSinceNanos = nowNanos;
    }
  }

  private void departed(RegisteredUpstream upstream, long nowNanos) {
    departedNanos.merge(Served.of(upstream), nowNanos, (a, b) -> a - b > 0 ? a : b);
    if (departedNanos.size() > MAX_DEPARTED) {
      departedNanos.clear();
      knownSinceNanos = nowNanos;
    }
  }

  /**
   * Extends the known time by registrations from before it.
   *
   * @param earlier all registrations since the given time
   * @param sinceNanos the time since which everything is known, in nanoseconds
   */
  public void extend(Iterable<RegisteredUpstream> earlier, long sinceNanos) {
    if (sinceNanos - knownSinceNanos >= 0) {
      return;
    }
    long endNanos = knownSinceNanos;
    knownSinceNanos = sinceNanos;
    earlier.forEach(upstream -> departed(upstream, endNanos));
  }

  /**
   * Returns whether everything is known for a time up to now.
   *
   * @param windowNanos the length of the time, in nanoseconds
   * @param nowNanos the current time, in nanoseconds
   * @return true if no registration in that time is unknown
   */
  public boolean covers(long windowNanos, long nowNanos) {
    return nowNanos - knownSinceNanos >= windowNanos;
  }

  /**
   * Returns the software versions that served a pool at some point of a time up to now.
   *
   * @param pool the name of the pool
   * @param windowNanos the length of the time, in nanoseconds
   * @param nowNanos the current time, in nanoseconds
   * @return the versions; empty if not everything is known for that time
   */
  public Optional<ImmutableSet<String>> versionsServed(
      String pool, long windowNanos, long nowNanos) {
    if (!covers(windowNanos, nowNanos)) {
      return Optional.empty();
    }
    ImmutableSet.Builder<String> versions = ImmutableSet.builder();
    registered(pool).forEach(upstream -> versions.add(upstream.softwareVersion()));
    departedNanos.forEach(
        (served, at) -> {
          if (served.pool().equals(pool) && nowNanos - at < windowNanos) {
            versions.add(served.softwareVersion());
          }
        });
    return Optional.of(versions.build());
  }

  /**
   * Returns all registered upstreams, also those that are leaving.
   *
   * @return the upstreams
   */
  public ImmutableList<RegisteredUpstream> registered() {
    return ImmutableList.copyOf(present.values());
  }

  /**
   * Returns the registered upstreams of a pool, also those that are leaving.
   *
   * @param pool the name of the pool
   * @return the upstreams
   */
  public ImmutableList<RegisteredUpstream> registered(String pool) {
    return present.values().stream()
        .filter(upstream -> upstream.pool().equals(pool))
        .collect(ImmutableList.toImmutableList());
  }
}

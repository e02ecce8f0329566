package org.cranberrystand.upstream;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The registered upstreams, robust against outages of the registration source.
 *
 * <p>During an outage of the source, registrations expire although their upstreams are alive. The
 * upstreams register again soon after the source returns, so an upstream that is missing then is
 * kept for a grace period. Not thread-safe.
 */
public final class UpstreamRegistry {
  /** Upstreams register again within about 2 s after the source returns. */
  private static final long REREGISTRATION_GRACE_NANOS = 2_200_000_000L;

  private final Map<String, RegisteredUpstream> entries = new LinkedHashMap<>();
  private final Map<String, Long> missingUntilNanos = new HashMap<>();
  private boolean sourceLost;
  private long graceUntilNanos = Long.MIN_VALUE;

  /**
   * Adds or updates a registration.
   *
   * @param upstream the upstream
   */
  public void registered(RegisteredUpstream upstream) {
    missingUntilNanos.remove(upstream.id());
    entries.put(upstream.id(), upstream);
  }

  /**
   * Records that a registration was removed or has expired.
   *
   * @param id the identifier of the upstream
   * @param nowNanos the current time
   */
  public void removed(String id, long nowNanos) {
    RegisteredUpstream upstream = entries.get(id);
    if (upstream == null) {
      return;
    }
    boolean mayReregister = !upstream.leaving() && (sourceLost || nowNanos < graceUntilNanos);
    if (mayReregister) {
      missingUntilNanos.putIfAbsent(id, Math.max(graceUntilNanos, nowNanos));
    } else {
      forget(id);
    }
  }

  /**
   * Replaces all registrations with a full list from the source.
   *
   * @param listed the registered upstreams
   * @param nowNanos the current time
   */
  public void replaceAll(Iterable<RegisteredUpstream> listed, long nowNanos) {
    Set<String> present = new HashSet<>();
    for (RegisteredUpstream upstream : listed) {
      present.add(upstream.id());
      registered(upstream);
    }
    for (String id : ImmutableList.copyOf(entries.keySet())) {
      if (!present.contains(id)) {
        removed(id, nowNanos);
      }
    }
  }

  /** Records that the source has become unavailable. */
  public void sourceLost() {
    sourceLost = true;
  }

  /**
   * Records that the source is available again.
   *
   * @param nowNanos the current time
   */
  public void sourceRegained(long nowNanos) {
    if (sourceLost) {
      sourceLost = false;
      graceUntilNanos = nowNanos + REREGISTRATION_GRACE_NANOS;
      missingUntilNanos.replaceAll((id, until) -> graceUntilNanos);
    }
  }

  /**
   * Removes the upstreams that did not register again within the grace period.
   *
   * @param nowNanos the current time
   * @return true if at least one upstream was removed
   */
  public boolean expire(long nowNanos) {
    if (sourceLost || missingUntilNanos.isEmpty()) {
      return false;
    }
    boolean changed = false;
    Iterator<Map.Entry<String, Long>> missing = missingUntilNanos.entrySet().iterator();
    while (missing.hasNext()) {
      Map.Entry<String, Long> entry = missing.next();
      if (nowNanos >= entry.getValue()) {
        entries.remove(entry.getKey());
        missing.remove();
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Returns the upstreams that may receive new requests.
   *
   * @return the registered upstreams that are not leaving
   */
  public ImmutableList<RegisteredUpstream> usable() {
    return entries.values().stream()
        .filter(upstream -> !upstream.leaving())
        .collect(ImmutableList.toImmutableList());
  }

  private void forget(String id) {
    entries.remove(id);
    missingUntilNanos.remove(id);
  }
}

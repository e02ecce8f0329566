package org.cranberrystand.upstream;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The upstreams that are registered, with the rules for a source that fails.
 *
 * <p>Registrations expire while the source is away although their upstreams live, and are written
 * again soon after its return. An upstream that is missing then is kept for a grace period. Not
 * thread-safe.
 */
public final class UpstreamRegistry {
  /** Upstreams register again within about 2 s of the return of the source. */
  private static final long RETURN_GRACE_NANOS = 2_200_000_000L;

  private final Map<String, RegisteredUpstream> entries = new LinkedHashMap<>();
  private final Map<String, Long> missingUntilNanos = new HashMap<>();
  private boolean sourceLost;
  private long graceUntilNanos = Long.MIN_VALUE;

  /**
   * Records a registration.
   *
   * @param upstream the upstream
   */
  public void registered(RegisteredUpstream upstream) {
    missingUntilNanos.remove(upstream.id());
    entries.put(upstream.id(), upstream);
  }

  /**
   * Records that a registration is gone.
   *
   * @param id the identifier
   * @param nowNanos the time
   */
  public void removed(String id, long nowNanos) {
    RegisteredUpstream known = entries.get(id);
    if (known == null) {
      return;
    }
    boolean mayReturn = !known.leaving() && (sourceLost || nowNanos < graceUntilNanos);
    if (mayReturn) {
      missingUntilNanos.putIfAbsent(id, Math.max(graceUntilNanos, nowNanos));
    } else {
      forget(id);
    }
  }

  /**
   * Replaces all registrations by a full list.
   *
   * @param listed the upstreams in the list
   * @param nowNanos the time
   */
  public void relisted(Iterable<RegisteredUpstream> listed, long nowNanos) {
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

  /** Records that the source cannot be read. */
  public void sourceLost() {
    sourceLost = true;
  }

  /**
   * Records that the source can be read again.
   *
   * @param nowNanos the time
   */
  public void sourceRegained(long nowNanos) {
    if (sourceLost) {
      sourceLost = false;
      graceUntilNanos = nowNanos + RETURN_GRACE_NANOS;
      missingUntilNanos.replaceAll((id, until) -> graceUntilNanos);
    }
  }

  /**
   * Removes the upstreams that did not register again in time.
   *
   * @param nowNanos the time
   * @return true if one was removed
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
   * Returns the upstreams that may get new requests.
   *
   * @return those that are registered and not leaving
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

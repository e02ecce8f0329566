package org.cranberrystand.upstream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.cranberrystand.util.MonotonicClock;

/**
 * The registered upstreams, robust against outages of the registration source.
 *
 * <p>During an outage of the source, registrations expire although their upstreams are alive. The
 * upstreams register again soon after the source returns, so an upstream that is missing then is
 * kept for a grace period. A source that is restored from a copy also lists upstreams as ready that
 * have left since: an incarnation that announced that it is leaving stays unusable, and one that
 * was removed is usable again only when it registers again or outlasts the expiry of registrations.
 * Upstreams in evacuated failure domains are not usable, whatever their registrations say. Not
 * thread-safe.
 */
public final class UpstreamRegistry {
  /** Upstreams register again within about 2 s after the source returns. */
  private static final long REREGISTRATION_GRACE_NANOS = 2_200_000_000L;

  /** Longer than the source takes to expire the registration of a silent upstream. */
  private static final long REMOVED_HOLD_NANOS = 5_000_000_000L;

  /** How far a copy may lie back from which a source is restored. */
  private static final long REMOVAL_RETENTION_NANOS = 60_000_000_000L;

  /** Announcements are passed on until all nodes have received one of the reports. */
  private static final long ANNOUNCEMENT_REPORT_NANOS = 5_000_000_000L;

  /** Limits the size of a report; the registrations tell the rest. */
  private static final int MAX_REPORTED_ANNOUNCEMENTS = 24;

  private final DrainTracker leaving;
  private final EvacuatedDomains evacuated = new EvacuatedDomains();
  private final Map<String, RegisteredUpstream> entries = new LinkedHashMap<>();
  private final Map<String, Long> missingUntilNanos = new HashMap<>();
  private final Map<String, Long> removedAtNanos = new HashMap<>();
  private final Map<String, Long> heldUntilNanos = new HashMap<>();
  private boolean sourceLost;
  private long lostAtNanos;
  private long graceUntilNanos = Long.MIN_VALUE;
  private long restoredUntilNanos = Long.MIN_VALUE;

  /**
   * Creates a registry without upstreams.
   *
   * @param clock the clock of the node
   */
  public UpstreamRegistry(MonotonicClock clock) {
    this.leaving = new DrainTracker(clock);
  }

  /**
   * Adds or updates a registration.
   *
   * @param upstream the upstream
   */
  public void registered(RegisteredUpstream upstream) {
    removedAtNanos.remove(upstream.incarnationKey());
    heldUntilNanos.remove(upstream.id());
    put(upstream);
  }

  private void put(RegisteredUpstream upstream) {
    missingUntilNanos.remove(upstream.id());
    entries.put(upstream.id(), upstream);
    if (upstream.leaving()) {
      leaving.announced(upstream.incarnationKey());
    }
  }

  /**
   * Records that an upstream announced in a response that it is leaving.
   *
   * @param upstream the upstream
   * @return true if it counts as leaving now and did not before
   */
  public boolean announcedLeaving(RegisteredUpstream upstream) {
    return leaving.announced(upstream.incarnationKey());
  }

  /**
   * Processes announcements that another node received.
   *
   * @param reports the announcements by incarnation of the upstream
   * @return true if at least one incarnation counts as leaving now and did not before
   */
  public boolean announcementsReported(Iterable<DrainTracker.Report> reports) {
    boolean changed = false;
    for (DrainTracker.Report report : reports) {
      changed |= leaving.announcementReported(report);
    }
    return changed;
  }

  /**
   * Returns the announcements of leaving to be passed on to other nodes: the recent ones, and those
   * of upstreams whose registration does not say so, because a node that starts knows nothing else.
   *
   * @return the announcements by incarnation of the upstream
   */
  public ImmutableList<DrainTracker.Report> recentAnnouncements() {
    return leaving.reports(
        MAX_REPORTED_ANNOUNCEMENTS,
        report ->
            report.ageNanos() <= ANNOUNCEMENT_REPORT_NANOS || isListedAsReady(report.upstream()));
  }

  private boolean isListedAsReady(String incarnation) {
    return entries.values().stream()
        .anyMatch(upstream -> !upstream.leaving() && upstream.incarnationKey().equals(incarnation));
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
    boolean mayReregister = !isLeaving(upstream) && nowNanos < graceUntilNanos;
    if (mayReregister) {
      missingUntilNanos.putIfAbsent(id, graceUntilNanos);
    } else {
      forget(upstream, nowNanos);
    }
  }

  /**
   * Records that the entry of an upstream names no upstream any more. Unlike a removal, this is
   * never an expired registration.
   *
   * @param id the identifier of the upstream
   * @param nowNanos the current time
   */
  public void unusable(String id, long nowNanos) {
    RegisteredUpstream upstream = entries.get(id);
    if (upstream != null) {
      forget(upstream, nowNanos);
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
    boolean restored = nowNanos < restoredUntilNanos;
    for (RegisteredUpstream upstream : listed) {
      present.add(upstream.id());
      if (restored && removedAtNanos.containsKey(upstream.incarnationKey())) {
        heldUntilNanos.putIfAbsent(upstream.id(), nowNanos + REMOVED_HOLD_NANOS);
        put(upstream);
      } else {
        registered(upstream);
      }
    }
    for (String id : ImmutableList.copyOf(entries.keySet())) {
      if (!present.contains(id)) {
        removed(id, nowNanos);
      }
    }
  }

  /**
   * Records that the evacuation of a failure domain is published.
   *
   * @param domain the failure domain
   */
  public void evacuationStarted(String domain) {
    evacuated.started(domain);
  }

  /**
   * Records that the evacuation of a failure domain was removed.
   *
   * @param domain the failure domain
   */
  public void evacuationEnded(String domain) {
    evacuated.ended(domain);
  }

  /**
   * Replaces all evacuations with those of a full list from the source. Those that a restored
   * source lacks stay in effect for a grace period.
   *
   * @param domains the listed failure domains
   * @param nowNanos the current time
   */
  public void replaceEvacuations(Set<String> domains, long nowNanos) {
    evacuated.replaceAll(domains, nowNanos);
  }

  /**
   * Returns the failure domains whose upstreams may not receive new requests.
   *
   * @return the names of the failure domains
   */
  public ImmutableSet<String> evacuatedDomains() {
    return evacuated.all();
  }

  /**
   * Returns whether an upstream is registered in a failure domain, usable or not.
   *
   * @param domain the failure domain
   * @return true if at least one is
   */
  public boolean hasUpstreamIn(String domain) {
    return entries.values().stream().anyMatch(one -> one.failureDomain().equals(domain));
  }

  /**
   * Records that the source has become unavailable.
   *
   * @param nowNanos the current time
   */
  public void sourceLost(long nowNanos) {
    if (!sourceLost) {
      sourceLost = true;
      lostAtNanos = nowNanos;
    }
  }

  /**
   * Records that the source is available again. Grace periods in progress are extended by the time
   * in which upstreams could not register.
   *
   * @param nowNanos the current time
   */
  public void sourceRegained(long nowNanos) {
    if (!sourceLost) {
      return;
    }
    sourceLost = false;
    graceUntilNanos = extended(graceUntilNanos, nowNanos);
    missingUntilNanos.replaceAll((id, until) -> extended(until, nowNanos));
    evacuated.extendGrace(until -> extended(until, nowNanos));
  }

  /** Returns the end of a grace period, later by the part of it in which the source was away. */
  private long extended(long untilNanos, long nowNanos) {
    if (untilNanos <= lostAtNanos) {
      return untilNanos;
    }
    long startNanos = untilNanos - REREGISTRATION_GRACE_NANOS;
    return untilNanos + nowNanos - Math.max(lostAtNanos, startNanos);
  }

  /**
   * Records that the source was away for so long that registrations of live upstreams may have
   * expired. Removals count as expired registrations for a grace period.
   *
   * @param nowNanos the current time
   * @see SourceContact
   */
  public void registrationsMayHaveExpired(long nowNanos) {
    startGrace(nowNanos);
    evacuated.restartGrace(graceUntilNanos);
  }

  /**
   * Records that the source was there all the time, though this node did not reach it. What is
   * missing has left.
   *
   * @param nowNanos the current time
   * @return true if the usable upstreams may have changed
   */
  public boolean registrationsDidNotExpire(long nowNanos) {
    if (nowNanos < restoredUntilNanos) {
      return false;
    }
    graceUntilNanos = Math.min(graceUntilNanos, nowNanos);
    missingUntilNanos.replaceAll((id, until) -> nowNanos);
    return removeMissing(nowNanos);
  }

  /**
   * Records that the source was restored from a copy, before its list is applied.
   *
   * @param nowNanos the current time
   */
  public void sourceRestored(long nowNanos) {
    restoredUntilNanos = nowNanos + REMOVED_HOLD_NANOS;
    startGrace(nowNanos);
    evacuated.sourceRestored(graceUntilNanos);
  }

  private void startGrace(long nowNanos) {
    graceUntilNanos = nowNanos + REREGISTRATION_GRACE_NANOS;
    missingUntilNanos.replaceAll((id, until) -> graceUntilNanos);
  }

  /**
   * Removes the upstreams that did not register again within the grace period, readmits those whose
   * registration outlasted the time in which the source expires it, and ends the evacuations that
   * were not repeated.
   *
   * @param nowNanos the current time
   * @return true if the usable upstreams may have changed
   */
  public boolean expire(long nowNanos) {
    removedAtNanos.values().removeIf(at -> nowNanos - at >= REMOVAL_RETENTION_NANOS);
    boolean changed = leaving.expire();
    changed |= heldUntilNanos.values().removeIf(until -> nowNanos >= until);
    changed |= !sourceLost && evacuated.expire(nowNanos);
    return removeMissing(nowNanos) || changed;
  }

  private boolean removeMissing(long nowNanos) {
    if (sourceLost) {
      return false;
    }
    ImmutableList<String> overdue =
        missingUntilNanos.entrySet().stream()
            .filter(entry -> nowNanos >= entry.getValue())
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    overdue.forEach(id -> forget(entries.get(id), nowNanos));
    return !overdue.isEmpty();
  }

  /**
   * Returns the upstreams that may receive new requests.
   *
   * @return the registered upstreams that are not leaving, outside evacuated failure domains
   */
  public ImmutableList<RegisteredUpstream> usable() {
    return entries.values().stream()
        .filter(upstream -> !isLeaving(upstream) && !heldUntilNanos.containsKey(upstream.id()))
        .filter(upstream -> !evacuated.contains(upstream.failureDomain()))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean isLeaving(RegisteredUpstream upstream) {
    return leaving.isLeaving(upstream.incarnationKey());
  }

  private void forget(RegisteredUpstream upstream, long nowNanos) {
    entries.remove(upstream.id());
    missingUntilNanos.remove(upstream.id());
    heldUntilNanos.remove(upstream.id());
    removedAtNanos.put(upstream.incarnationKey(), nowNanos);
  }
}

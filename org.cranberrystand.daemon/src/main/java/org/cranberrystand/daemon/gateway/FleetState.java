package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.ColdUpstreams;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.routing.RouteHistory;
import org.cranberrystand.routing.RoutingTable;
import org.cranberrystand.routing.ServicePool;
import org.cranberrystand.upstream.DrainTracker;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.cranberrystand.upstream.UpstreamRegistry;
import org.cranberrystand.upstream.VersionHistory;
import org.cranberrystand.util.MonotonicClock;

/**
 * Applies published values: the operators' declaration, their evacuations of failure domains and
 * the registrations of upstreams.
 *
 * <p>A declaration is never replaced by an older version. Used only on the event loop, except that
 * any thread may read the current declaration and the published state.
 */
final class FleetState implements PublishedFollower.Listener {
  private final PublishedDecoder decoder;
  private final CallDispatcher dispatcher;
  private final ColdUpstreams cold;
  private final UpstreamClient client;
  private final UpstreamVerifier verifier;
  private final CrashDetector crashes;
  private final GatewayMetrics metrics;
  private final EventLog log;
  private final UpstreamRegistry registry = new UpstreamRegistry(MonotonicClock.system());
  private final VersionHistory versions = new VersionHistory(System.nanoTime());
  private final RouteHistory routes = new RouteHistory();

  /** Why a value or some of its fields are ignored, by key, as it was logged last. */
  private final Map<String, String> ignoredCauses = new HashMap<>();

  private final AtomicReference<RoutingTable> routing = new AtomicReference<>();
  private final AtomicReference<PublishedState> published =
      new AtomicReference<>(PublishedState.EMPTY);
  private ImmutableMap<String, String> failureDomains = ImmutableMap.of();

  private ImmutableSet<String> evacuated = ImmutableSet.of();

  /** The upstreams that the dispatcher has; null before the first list. */
  private ImmutableList<RegisteredUpstream> appliedUpstreams;

  FleetState(
      PublishedDecoder decoder,
      CallDispatcher dispatcher,
      ColdUpstreams cold,
      UpstreamClient client,
      UpstreamVerifier verifier,
      CrashDetector crashes,
      GatewayMetrics metrics,
      EventLog log) {
    this.verifier = verifier;
    this.crashes = crashes;
    this.decoder = decoder;
    this.dispatcher = dispatcher;
    this.cold = cold;
    this.client = client;
    this.metrics = metrics;
    this.log = log;
  }

  /** Returns the current declaration, or null if there is none yet. */
  RoutingTable routing() {
    return routing.get();
  }

  /**
   * Returns the failure domain of a usable upstream; empty if there is none with the identifier.
   */
  String failureDomain(String upstream) {
    return failureDomains.getOrDefault(upstream, "");
  }

  /** Returns which software versions served the pools. */
  VersionHistory versions() {
    return versions;
  }

  /** Returns the pools to which recent declarations sent requests. */
  RouteHistory routes() {
    return routes;
  }

  /** Returns the published state, which other nodes may fetch. */
  PublishedState published() {
    return published.get();
  }

  /**
   * Returns an update from another node with its values as far as this node uses them; nodes of an
   * earlier release send whole values.
   */
  PublishedUpdate reduced(PublishedUpdate update) {
    return update.reducedBy(decoder);
  }

  @Override
  public void storeRestored() {
    registry.sourceRestored(System.nanoTime());
  }

  @Override
  public void stateReplaced(PublishedState state) {
    published.set(state);
    versions.restart(System.nanoTime());
    ignoredCauses.keySet().retainAll(state.values().keySet());
    List<RegisteredUpstream> listed = new ArrayList<>();
    Set<String> evacuations = new HashSet<>();
    state.values().values().forEach(value -> apply(value, listed, evacuations));
    registry.replaceEvacuations(evacuations, System.nanoTime());
    registry.replaceAll(listed, System.nanoTime());
    listed.forEach(upstream -> versions.registered(upstream, System.nanoTime()));
    listed.forEach(crashes::registered);
    applyUpstreams("list");
  }

  @Override
  public void valuesChanged(PublishedState state, Iterable<PublishedValue> changes) {
    published.set(state);
    List<RegisteredUpstream> registered = new ArrayList<>();
    Set<String> evacuations = new HashSet<>();
    for (PublishedValue change : changes) {
      String id = decoder.upstreamId(change.key());
      if (change.isDeleted()) {
        ignoredCauses.remove(change.key());
      }
      if (!change.isDeleted()) {
        apply(change, registered, evacuations);
      } else if (!id.isEmpty()) {
        registry.removed(id, System.nanoTime());
        versions.removed(id, System.nanoTime());
      } else {
        registry.evacuationEnded(decoder.evacuatedDomain(change.key()));
      }
      for (RegisteredUpstream upstream : registered) {
        registry.registered(upstream);
        versions.registered(upstream, System.nanoTime());
        verifier.registered(upstream);
        crashes.registered(upstream);
      }
      registered.clear();
      evacuations.forEach(registry::evacuationStarted);
      evacuations.clear();
    }
    applyUpstreams("watch");
  }

  private void apply(
      PublishedValue value, List<RegisteredUpstream> registered, Set<String> evacuations) {
    PublishedDecoder.Decoded decoded = decoder.decode(value);
    if (decoded instanceof PublishedDecoder.Declaration declaration) {
      logIgnoredFields(value, declaration.ignoredFields());
      applyDeclaration(declaration.table(), value.revision());
    } else if (decoded instanceof PublishedDecoder.Registration registration) {
      logIgnoredFields(value, registration.ignoredFields());
      cold.registered(registration.upstream(), value.revision(), System.nanoTime());
      registered.add(registration.upstream());
    } else if (decoded instanceof PublishedDecoder.Evacuation evacuation) {
      evacuations.add(evacuation.domain());
    } else if (decoded instanceof PublishedDecoder.Ignored ignored && !ignored.reason().isEmpty()) {
      String id = decoder.upstreamId(value.key());
      if (!id.isEmpty()) {
        registry.unusable(id, System.nanoTime());
        versions.unusable(id, System.nanoTime());
      }
      logIgnored(value, ignored.reason());
    }
  }

  private void logIgnoredFields(PublishedValue value, ImmutableList<String> fields) {
    if (fields.isEmpty()) {
      ignoredCauses.remove(value.key());
    } else {
      logIgnored(value, "fields cannot be used: " + String.join(", ", fields));
    }
  }

  /** Logs why a value is ignored, once until it is sound, removed or ignored for another cause. */
  private void logIgnored(PublishedValue value, String cause) {
    if (!cause.equals(ignoredCauses.put(value.key(), cause))) {
      log.write(
          LogEvent.VALUE_IGNORED,
          "key=" + value.key() + " revision=" + value.revision() + " cause=" + cause);
    }
  }

  private void applyDeclaration(RoutingTable table, long revision) {
    RoutingTable current = routing.get();
    if (current == null || table.version() > current.version()) {
      routing.set(table);
      routes.declared(table, System.nanoTime());
      cold.declared(Maps.transformValues(table.pools(), ServicePool::coldStart));
      log.write(
          LogEvent.ROUTING_IN_FORCE,
          "version="
              + table.version()
              + " before="
              + (current == null ? "none" : current.version())
              + " revision="
              + revision
              + " pools="
              + table.routedPools().size()
              + " teams="
              + table.teams().size());
    }
  }

  private void applyUpstreams(String source) {
    List<RegisteredUpstream> usable = registry.usable();
    boolean withdrawn = applyEvacuations(source);
    if (!withdrawn && usable.equals(appliedUpstreams)) {
      // Most changes of the store are heartbeats that change no registration.
      return;
    }
    appliedUpstreams = ImmutableList.copyOf(usable);
    failureDomains =
        usable.stream()
            .collect(
                ImmutableMap.toImmutableMap(
                    RegisteredUpstream::id,
                    RegisteredUpstream::failureDomain,
                    (first, second) -> second));
    if (withdrawn) {
      dispatcher.upstreamsWithdrawn(usable, System.nanoTime());
    } else {
      dispatcher.upstreamsChanged(usable, System.nanoTime());
    }
    ImmutableSet<String> ids =
        usable.stream().map(RegisteredUpstream::id).collect(ImmutableSet.toImmutableSet());
    client.retainUpstreams(ids);
    log.write(
        LogEvent.UPSTREAMS_CHANGED,
        "usable=" + ids.size() + " source=" + source + " version=" + published.get().version());
  }

  /** Records which evacuations started and ended; returns whether one started. */
  private boolean applyEvacuations(String source) {
    ImmutableSet<String> before = evacuated;
    evacuated = registry.evacuatedDomains();
    Set<String> started = Sets.difference(evacuated, before);
    Sets.difference(before, evacuated).forEach(domain -> evacuationEnded(domain, source));
    for (String domain : started) {
      log.write(LogEvent.EVACUATION_STARTED, evacuationFields(domain, source));
      if (!registry.hasUpstreamIn(domain)) {
        log.write(LogEvent.EVACUATION_UNKNOWN, evacuationFields(domain, source));
      }
    }
    metrics.setEvacuatedDomains(evacuated.size());
    return !started.isEmpty();
  }

  /** Applies the end of an evacuation, after which upstreams of the domain may be cold. */
  private void evacuationEnded(String domain, String source) {
    log.write(LogEvent.EVACUATION_ENDED, evacuationFields(domain, source));
    List<RegisteredUpstream> returning =
        registry.usable().stream()
            .filter(upstream -> upstream.failureDomain().equals(domain))
            .toList();
    cold.treatAsCold(returning, ColdUpstreams.Cause.EVACUATION_ENDED, System.nanoTime());
  }

  private String evacuationFields(String domain, String source) {
    return "domain=" + domain + " source=" + source + " version=" + published.get().version();
  }

  @Override
  public void storeLost() {
    registry.sourceLost(System.nanoTime());
  }

  @Override
  public void storeRegained() {
    registry.sourceRegained(System.nanoTime());
  }

  @Override
  public void registrationsMayHaveExpired() {
    registry.registrationsMayHaveExpired(System.nanoTime());
  }

  @Override
  public void registrationsDidNotExpire() {
    if (registry.registrationsDidNotExpire(System.nanoTime())) {
      applyUpstreams("peer");
    }
  }

  /** An upstream announced in a response to this node that it is leaving. */
  void upstreamLeaving(RegisteredUpstream upstream) {
    if (registry.announcedLeaving(upstream)) {
      log.write(LogEvent.UPSTREAM_LEAVING, "upstream=" + upstream.id() + " source=answer");
      applyUpstreams("answer");
    }
  }

  /** Applies announcements of leaving upstreams that another node received. */
  void leavingReported(String peer, ImmutableList<DrainTracker.Report> reports) {
    if (registry.announcementsReported(reports)) {
      String upstreams =
          reports.stream().map(DrainTracker.Report::upstream).collect(Collectors.joining(","));
      log.write(LogEvent.UPSTREAM_LEAVING, "upstreams=" + upstreams + " source=" + peer);
      applyUpstreams("peer");
    }
  }

  /** Returns the recent announcements of leaving upstreams, for reports to other nodes. */
  ImmutableList<DrainTracker.Report> leavingUpstreams() {
    return registry.recentAnnouncements();
  }

  /** Returns the upstreams that may get requests. */
  ImmutableList<RegisteredUpstream> upstreams() {
    return ImmutableList.copyOf(registry.usable());
  }

  /** Removes the upstreams that did not register again within the grace period. */
  void expireUpstreams(long nowNanos) {
    if (registry.expire(nowNanos)) {
      applyUpstreams("expiry");
    }
  }
}

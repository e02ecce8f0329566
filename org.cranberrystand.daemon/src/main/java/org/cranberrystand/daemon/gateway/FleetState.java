package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.routing.RoutingTable;
import org.cranberrystand.upstream.DrainTracker;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.cranberrystand.upstream.UpstreamRegistry;
import org.cranberrystand.util.MonotonicClock;

/**
 * Applies published values: the operators' declaration and the registrations of upstreams.
 *
 * <p>A declaration is never replaced by an older version. Used only on the event loop, except that
 * any thread may read the current declaration and the published state.
 */
final class FleetState implements PublishedFollower.Listener {
  private final PublishedDecoder decoder;
  private final CallDispatcher dispatcher;
  private final UpstreamClient client;
  private final EventLog log;
  private final UpstreamRegistry registry = new UpstreamRegistry(MonotonicClock.system());
  private final AtomicReference<RoutingTable> routing = new AtomicReference<>();
  private final AtomicReference<PublishedState> published =
      new AtomicReference<>(PublishedState.EMPTY);

  /** The upstreams that the dispatcher has; null before the first list. */
  private ImmutableList<RegisteredUpstream> appliedUpstreams;

  FleetState(
      PublishedDecoder decoder, CallDispatcher dispatcher, UpstreamClient client, EventLog log) {
    this.decoder = decoder;
    this.dispatcher = dispatcher;
    this.client = client;
    this.log = log;
  }

  /** Returns the current declaration, or null if there is none yet. */
  RoutingTable routing() {
    return routing.get();
  }

  /** Returns the published state, which other nodes may fetch. */
  PublishedState published() {
    return published.get();
  }

  @Override
  public void storeRestored() {
    registry.sourceRestored(System.nanoTime());
  }

  @Override
  public void stateReplaced(PublishedState state) {
    published.set(state);
    List<RegisteredUpstream> listed = new ArrayList<>();
    state.values().values().forEach(value -> apply(value, listed));
    registry.replaceAll(listed, System.nanoTime());
    applyUpstreams("list");
  }

  @Override
  public void valuesChanged(PublishedState state, Iterable<PublishedValue> changes) {
    published.set(state);
    List<RegisteredUpstream> registered = new ArrayList<>();
    for (PublishedValue change : changes) {
      String id = decoder.upstreamId(change.key());
      if (!change.isDeleted()) {
        apply(change, registered);
      } else if (!id.isEmpty()) {
        registry.removed(id, System.nanoTime());
      }
      registered.forEach(registry::registered);
      registered.clear();
    }
    applyUpstreams("watch");
  }

  private void apply(PublishedValue value, List<RegisteredUpstream> registered) {
    PublishedDecoder.Decoded decoded = decoder.decode(value);
    if (decoded instanceof PublishedDecoder.Declaration declaration) {
      applyDeclaration(declaration.table(), value.revision());
    } else if (decoded instanceof PublishedDecoder.Registration registration) {
      registered.add(registration.upstream());
    } else if (decoded instanceof PublishedDecoder.Ignored ignored && !ignored.reason().isEmpty()) {
      log.write(
          LogEvent.VALUE_IGNORED,
          "key=" + value.key() + " revision=" + value.revision() + " cause=" + ignored.reason());
    }
  }

  private void applyDeclaration(RoutingTable table, long revision) {
    RoutingTable current = routing.get();
    if (current == null || table.version() > current.version()) {
      routing.set(table);
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
    if (usable.equals(appliedUpstreams)) {
      // Most changes of the store are heartbeats that change no registration.
      return;
    }
    appliedUpstreams = ImmutableList.copyOf(usable);
    dispatcher.upstreamsChanged(usable, System.nanoTime());
    ImmutableSet<String> ids =
        usable.stream().map(RegisteredUpstream::id).collect(ImmutableSet.toImmutableSet());
    client.retainUpstreams(ids);
    log.write(
        LogEvent.UPSTREAMS_CHANGED,
        "usable=" + ids.size() + " source=" + source + " version=" + published.get().version());
  }

  @Override
  public void storeLost() {
    registry.sourceLost();
  }

  @Override
  public void storeRegained() {
    registry.sourceRegained(System.nanoTime());
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

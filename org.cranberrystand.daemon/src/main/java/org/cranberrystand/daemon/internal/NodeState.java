package org.cranberrystand.daemon.internal;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.cranberrystand.bundle.BundleHolder;
import org.cranberrystand.identity.IdentifierIssuer;
import org.cranberrystand.identity.Incarnation;
import org.cranberrystand.identity.RequestId;
import org.cranberrystand.identity.RequestIdCodec;
import org.cranberrystand.identity.RequestLedger;
import org.cranberrystand.membership.LoadSummary;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.membership.MembershipView;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.util.MonotonicClock;
import org.cranberrystand.wire.platform.VmEntry;
import org.cranberrystand.wire.security.FleetKeys;
import org.cranberrystand.wire.settings.NodeSettings;

/**
 * State of one node that its components share.
 *
 * <p>Snapshots such as the upstream directory are replaced atomically, so that readers need no
 * lock. Safe for use by several threads.
 */
public final class NodeState {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MAX_SCHEDULER_KEYS = 4_096;

  private final NodeSettings settings;
  private final MonotonicClock clock;
  private final Incarnation incarnation;
  private final IdentifierIssuer issuer;
  private final RequestLedger ledger;
  private final RequestIdCodec idCodec;
  private final FleetKeys fleetKeys;
  private final BundleHolder bundles = new BundleHolder();
  private final AtomicReference<UpstreamDirectory> directory =
      new AtomicReference<>(UpstreamDirectory.empty());
  private final AtomicReference<ImmutableList<VmEntry>> entryVms =
      new AtomicReference<>(ImmutableList.of());
  private final AtomicReference<MembershipView> membership =
      new AtomicReference<>(MembershipView.empty());
  private final AtomicReference<ImmutableList<LoadSummary>> memberLoads =
      new AtomicReference<>(ImmutableList.of());
  private final AtomicReference<MemberRecord> self = new AtomicReference<>();
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final Readiness readiness;
  private final LeaveSignals leaveSignals;
  private final ControlCost controlCost = new ControlCost();
  private final Cache<RequestId, Long> schedulerKeys =
      CacheBuilder.newBuilder().maximumSize(MAX_SCHEDULER_KEYS).build();

  /**
   * Creates the state of a starting node.
   *
   * @param settings the settings
   * @param incarnation the incarnation of the node
   * @param clock the clock of the node
   */
  public NodeState(NodeSettings settings, Incarnation incarnation, MonotonicClock clock) {
    this.settings = settings;
    this.clock = clock;
    this.incarnation = incarnation;
    this.issuer =
        new IdentifierIssuer(
            incarnation, clock, settings.limits().identifierLifetimeMillis() * NANOS_PER_MILLI);
    this.ledger = new RequestLedger(issuer, settings.limits().maxAnswerBytes());
    this.fleetKeys = new FleetKeys(settings.fleetKeys());
    this.readiness = new Readiness(clock, leaving);
    this.leaveSignals = new LeaveSignals(clock, new EventLog(settings.node()), directory);
    this.idCodec = new RequestIdCodec(fleetKeys.keysFor(FleetKeys.Use.IDENTIFIER));
  }

  public NodeSettings settings() {
    return settings;
  }

  public MonotonicClock clock() {
    return clock;
  }

  public Incarnation incarnation() {
    return incarnation;
  }

  public IdentifierIssuer issuer() {
    return issuer;
  }

  public RequestLedger ledger() {
    return ledger;
  }

  public RequestIdCodec idCodec() {
    return idCodec;
  }

  public FleetKeys fleetKeys() {
    return fleetKeys;
  }

  public BundleHolder bundles() {
    return bundles;
  }

  public AtomicReference<UpstreamDirectory> directory() {
    return directory;
  }

  public AtomicReference<ImmutableList<VmEntry>> entryVms() {
    return entryVms;
  }

  public AtomicReference<MembershipView> membership() {
    return membership;
  }

  public AtomicReference<ImmutableList<LoadSummary>> memberLoads() {
    return memberLoads;
  }

  public AtomicReference<MemberRecord> self() {
    return self;
  }

  public AtomicBoolean leaving() {
    return leaving;
  }

  public Readiness readiness() {
    return readiness;
  }

  public LeaveSignals leaveSignals() {
    return leaveSignals;
  }

  public ControlCost controlCost() {
    return controlCost;
  }

  /**
   * Returns the scheduler keys of recent requests.
   *
   * @return the keys by request identifier; bounded, the least recently used are evicted first
   */
  public Cache<RequestId, Long> schedulerKeys() {
    return schedulerKeys;
  }
}

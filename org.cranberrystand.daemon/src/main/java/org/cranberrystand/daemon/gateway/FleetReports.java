package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.QuotaLedger;
import org.cranberrystand.dispatch.QuotaLedger.Coverage;
import org.cranberrystand.dispatch.QuotaReports;
import org.cranberrystand.dispatch.StreamOrigins;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.CellLayout;
import org.cranberrystand.membership.NodeInfo;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.PeerTable;
import org.cranberrystand.membership.PeerTargets;
import org.cranberrystand.membership.PublishedVersion;
import org.cranberrystand.membership.ReportScope;
import org.cranberrystand.membership.ReportedLoad;
import org.cranberrystand.membership.SharedObservations;

/**
 * Exchanges load reports with the other nodes and passes the reported load to the dispatcher and
 * the quotas. Used only on the event loop.
 */
final class FleetReports {
  /**
   * Longer than the minimum interval between node reports, because aggregates are larger. The load
   * of a cell reaches the nodes of other cells in three hops, which take about an interval each.
   */
  private static final long AGGREGATE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(140);

  /** State of this node that reports contain in addition to its load. */
  interface Source {
    /** Returns the version of the published state that this node has. */
    PublishedVersion version();

    /** Returns whether this node reads the store itself and the store responds. */
    boolean readsStore();

    /** Returns whether callers may be directed to this node. */
    boolean isReady();

    /** Returns what this node knows of upstreams and other nodes should know. */
    SharedObservations observations();
  }

  /** Receives what other nodes observed. */
  interface ObservationListener {
    void observationsReported(NodeInfo sender, SharedObservations observations);
  }

  private final PeerTable table;
  private final PeerTargets targets;
  private final CallDispatcher dispatcher;
  private final QuotaLedger quotas;
  private final Source source;
  private final ObservationListener observationListener;
  private final ReportSocket socket;
  private final EventLog log;
  private final long incarnation;
  private long sequence;
  private long lastNodeReportNanos;
  private long lastDiscoveryNanos;
  private long lastAggregateNanos;
  private long reportedChangeCount;
  private PublishedVersion reportedVersion = PublishedVersion.NONE;
  private boolean peerLoadChanged;
  private boolean cellHead;
  private CellLayout layout;
  private ImmutableList<Double> cellWeights = ImmutableList.of();

  FleetReports(
      PeerTable table,
      PeerTargets targets,
      CallDispatcher dispatcher,
      QuotaLedger quotas,
      Source source,
      ObservationListener observationListener,
      ReportSocket socket,
      EventLog log,
      long incarnation) {
    this.table = table;
    this.targets = targets;
    this.dispatcher = dispatcher;
    this.quotas = quotas;
    this.source = source;
    this.observationListener = observationListener;
    this.socket = socket;
    this.log = log;
    this.incarnation = incarnation;
    this.layout = table.layout();
  }

  /** Opens the socket; must not be called on the event loop. */
  void open(String host) throws InterruptedException {
    socket.open(host);
  }

  /** Applies or replies to a report of another node. */
  void handleReport(PeerReport report) {
    long now = System.nanoTime();
    observationListener.observationsReported(report.sender(), report.observations());
    switch (table.receive(report, now)) {
      case APPLIED -> {
        quotas.reported(
            report.senderInstance() + "/" + report.scope().code(),
            report.scope() == ReportScope.NODE ? Coverage.OWN_CELL : Coverage.OTHER_CELLS,
            report.load().usedQuotaUnits(),
            report.load().quotaBalanceUnits(),
            now);
        peerLoadChanged = true;
      }
      case REPLY_REQUIRED ->
          socket.send(
              nodeReport(targets.nodesForReply(report.sender(), now), false, now),
              ImmutableSet.of(report.sender().host()));
      default -> {
        // Outdated, or the load does not count for this node.
      }
    }
  }

  /** Applies received load and sends the reports that are due; to be called at short intervals. */
  void tick(long now) {
    if (peerLoadChanged) {
      applyPeerLoad(now);
    }
    sendNodeReportIfDue(now);
    sendDiscoveryIfDue(now);
    if (cellHead && now - lastAggregateNanos >= AGGREGATE_INTERVAL_NANOS) {
      lastAggregateNanos = now;
      sendAggregates(now);
    }
  }

  private void sendNodeReportIfDue(long now) {
    boolean changed =
        dispatcher.usageChangeCount() != reportedChangeCount
            // Nodes that do not read the store learn of a new version from those that do.
            || (source.readsStore() && !source.version().equals(reportedVersion));
    if (now - lastNodeReportNanos >= targets.reportIntervalNanos(changed)) {
      sendNodeReport();
    }
  }

  /** Reports this node to its cell immediately. */
  void sendNodeReport() {
    long now = System.nanoTime();
    lastNodeReportNanos = now;
    reportedChangeCount = dispatcher.usageChangeCount();
    reportedVersion = source.version();
    table.setAcceptsCallers(source.isReady());
    // A node that knows of one cell only may have just joined a larger fleet.
    socket.sendNext(
        nodeReport(targets.nodesToAdvertise(now), table.cellCount() == 1, now),
        targets.ownCellHosts());
  }

  private void sendDiscoveryIfDue(long now) {
    if (now - lastDiscoveryNanos >= targets.discoveryIntervalNanos(now)) {
      lastDiscoveryNanos = now;
      socket.send(
          nodeReport(targets.nodesToAdvertise(now), true, now), targets.discoveryHosts(now));
    }
  }

  private void sendAggregates(long now) {
    ReportedLoad cellLoad = ownLoad(Coverage.OWN_CELL, now);
    socket.sendNext(
        report(
            ReportScope.CELL,
            table.ownCellLoad(cellLoad, now),
            targets.ownCellNodes(now),
            false,
            now),
        targets.otherHeadHosts(now));
    ReportedLoad otherCellsLoad = ownLoad(Coverage.OTHER_CELLS, now);
    socket.sendNext(
        report(
            ReportScope.OTHER_CELLS,
            table.otherCellsLoad(otherCellsLoad, now),
            targets.otherCellNodes(now),
            false,
            now),
        targets.ownCellHosts());
  }

  /** Asks the own cell, and the heads of the other cells, where streams began. */
  void askForStreams(ImmutableList<String> streams) {
    long now = System.nanoTime();
    Set<String> hosts = new HashSet<>(targets.ownCellHosts());
    if (table.cellCount() > 1) {
      hosts.addAll(targets.otherHeadHosts(now));
    }
    socket.send(messageWith(source.observations().asking(streams), now), hosts);
  }

  /** Answers a question of another node. */
  void answerStreams(String host, ImmutableList<StreamOrigins.Origin> origins) {
    long now = System.nanoTime();
    socket.send(messageWith(source.observations().answering(origins), now), ImmutableSet.of(host));
  }

  private PeerReport messageWith(SharedObservations observations, long now) {
    ReportedLoad load = ownLoad(Coverage.THIS_NODE, now);
    return report(ReportScope.NODE, load, ImmutableList.of(), false, observations, now);
  }

  private PeerReport nodeReport(
      ImmutableList<NodeInfo> listedNodes, boolean replyRequested, long now) {
    return report(
        ReportScope.NODE, ownLoad(Coverage.THIS_NODE, now), listedNodes, replyRequested, now);
  }

  private PeerReport report(
      ReportScope scope,
      ReportedLoad load,
      ImmutableList<NodeInfo> listedNodes,
      boolean replyRequested,
      long now) {
    return report(scope, load, listedNodes, replyRequested, source.observations(), now);
  }

  private PeerReport report(
      ReportScope scope,
      ReportedLoad load,
      ImmutableList<NodeInfo> listedNodes,
      boolean replyRequested,
      SharedObservations observations,
      long now) {
    return new PeerReport(
        table.self(),
        incarnation,
        ++sequence,
        scope,
        table.nodeCount(now),
        table.layout().key(),
        replyRequested,
        source.version(),
        source.readsStore(),
        load,
        observations,
        listedNodes);
  }

  private ReportedLoad ownLoad(Coverage coverage, long now) {
    return new ReportedLoad(
        dispatcher.ownUsage(), quotas.usedUnits(coverage), quotas.balances(now));
  }

  /** Updates state that depends on the current time; to be called several times per second. */
  void refresh(long now) {
    table.setAcceptsCallers(source.isReady());
    table.refresh(now).forEach(quotas::forget);
    boolean wasCellHead = cellHead;
    cellHead = table.isHead(now);
    boolean layoutChanged = !table.layout().equals(layout);
    if (cellHead != wasCellHead || layoutChanged) {
      layout = table.layout();
      log.write(
          LogEvent.CELL_CHANGED,
          "cells="
              + layout.count()
              + " head="
              + cellHead
              + " nodes="
              + table.nodeCount(now)
              + " domains="
              + String.join(",", layout.domains()));
    }
    quotas.setReports(table.cellCount() == 1 ? QuotaReports.DIRECT : QuotaReports.BETWEEN_CELLS);
    quotas.setVisibleFraction(table.visibleFraction(now));
    updatePreferredUpstreams(layoutChanged, now);
    applyPeerLoad(now);
  }

  private void updatePreferredUpstreams(boolean layoutChanged, long now) {
    ImmutableList<Double> weights = table.cellWeights(now);
    if (layoutChanged || !weights.equals(cellWeights)) {
      cellWeights = weights;
      dispatcher.preferredUpstreamsChanged(id -> table.isPreferredUpstream(id, weights));
    }
  }

  private void applyPeerLoad(long now) {
    peerLoadChanged = false;
    ReportedLoad peerLoad = table.peerLoad(now);
    dispatcher.peerUsageChanged(peerLoad.usage(), now);
  }

  void close() {
    socket.close();
  }
}

package org.cranberrystand.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.CallDispatcher;
import org.cranberrystand.dispatch.CrashRegister;
import org.cranberrystand.dispatch.QuotaLedger;
import org.cranberrystand.dispatch.QuotaLedger.Coverage;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.membership.NodeInfo;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.PeerTable;
import org.cranberrystand.membership.PeerTargets;
import org.cranberrystand.membership.ReportScope;
import org.cranberrystand.membership.ReportedLoad;

/**
 * Reports what this node uses to the others, and gives what they report to the decisions of this
 * node. Used on the event loop only.
 */
final class FleetReports {
  /** Sums are larger than the report of a node, and three of these times make word of a cell. */
  private static final long SUM_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(140);

  /** What the reports say of this node beside its load. */
  interface Source {
    /** Returns the revision of the published state that the node knows; 0 if none. */
    long revision();

    /** Returns whether the node reads the store itself, and it answers. */
    boolean followsStore();

    /** Returns whether callers should be sent to the node. */
    boolean isReady();
  }

  private final PeerTable table;
  private final PeerTargets targets;
  private final CallDispatcher dispatcher;
  private final QuotaLedger quotas;
  private final CrashRegister crashes;
  private final Source source;
  private final ReportSocket socket;
  private final EventLog log;
  private final long incarnation;
  private long sequence;
  private long sentNanos;
  private long contactedNanos;
  private long summedNanos;
  private long reportedChanges;
  private long reportedRevision;
  private boolean dirty;
  private boolean head;
  private int cells = 1;
  private ImmutableList<Double> cellWeights = ImmutableList.of();

  FleetReports(
      PeerTable table,
      PeerTargets targets,
      CallDispatcher dispatcher,
      QuotaLedger quotas,
      CrashRegister crashes,
      Source source,
      ReportSocket socket,
      EventLog log,
      long incarnation) {
    this.table = table;
    this.targets = targets;
    this.dispatcher = dispatcher;
    this.quotas = quotas;
    this.crashes = crashes;
    this.source = source;
    this.socket = socket;
    this.log = log;
    this.incarnation = incarnation;
  }

  /** Opens the socket; may be called on any thread but the event loop. */
  void open(String host) throws InterruptedException {
    socket.open(host);
  }

  /** Takes a report of another node. */
  void received(PeerReport report) {
    long now = System.nanoTime();
    switch (table.receive(report, now)) {
      case APPLIED -> {
        quotas.reported(
            report.senderInstance() + "/" + report.scope().code(),
            report.scope() == ReportScope.NODE ? Coverage.OWN_CELL : Coverage.OTHER_CELLS,
            report.load().usedQuotaUnits(),
            report.load().quotaBalanceUnits(),
            now);
        dirty = true;
      }
      case REPLY_REQUIRED ->
          socket.send(
              nodeReport(targets.nodesForReply(report.sender().host(), now), false, now),
              ImmutableSet.of(report.sender().host()));
      default -> {
        // Old, or from a node that is not followed.
      }
    }
  }

  /** Sends what is due and takes over what has come; to be called often. */
  void tick(long now) {
    if (dirty) {
      applyOthers(now);
    }
    sendNode(now);
    sendContacts(now);
    if (head && now - summedNanos >= SUM_INTERVAL_NANOS) {
      summedNanos = now;
      sendSums(now);
    }
  }

  private void sendNode(long now) {
    boolean changed =
        dispatcher.usageChangeCount() != reportedChanges || source.revision() != reportedRevision;
    if (now - sentNanos >= targets.reportIntervalNanos(changed)) {
      announce();
    }
  }

  /** Reports this node to its cell at once. */
  void announce() {
    long now = System.nanoTime();
    sentNanos = now;
    reportedChanges = dispatcher.usageChangeCount();
    reportedRevision = source.revision();
    table.setAcceptsCallers(source.isReady());
    // A node that knows one cell only may be new in a larger fleet.
    socket.send(
        nodeReport(targets.nodesToAdvertise(now), table.cellCount() == 1, now),
        targets.ownCellHosts());
  }

  private void sendContacts(long now) {
    if (now - contactedNanos >= targets.discoveryIntervalNanos(now)) {
      contactedNanos = now;
      socket.send(
          nodeReport(targets.nodesToAdvertise(now), true, now), targets.discoveryHosts(now));
    }
  }

  private void sendSums(long now) {
    ReportedLoad near = ownLoad(Coverage.OWN_CELL, now);
    socket.send(
        report(
            ReportScope.CELL, table.ownCellLoad(near, now), targets.ownCellNodes(now), false, now),
        targets.otherHeadHosts(now));
    ReportedLoad far = ownLoad(Coverage.OTHER_CELLS, now);
    socket.send(
        report(
            ReportScope.OTHER_CELLS,
            table.otherCellsLoad(far, now),
            targets.otherCellNodes(now),
            false,
            now),
        targets.ownCellHosts());
  }

  private PeerReport nodeReport(ImmutableList<NodeInfo> others, boolean question, long now) {
    return report(ReportScope.NODE, ownLoad(Coverage.THIS_NODE, now), others, question, now);
  }

  private PeerReport report(
      ReportScope reach,
      ReportedLoad load,
      ImmutableList<NodeInfo> others,
      boolean question,
      long now) {
    return new PeerReport(
        table.self(),
        incarnation,
        ++sequence,
        reach,
        table.nodeCount(now),
        table.cellCount(),
        question,
        source.revision(),
        source.followsStore(),
        load,
        others);
  }

  private ReportedLoad ownLoad(Coverage coverage, long now) {
    return new ReportedLoad(
        dispatcher.ownUsage(),
        quotas.usedUnits(coverage),
        quotas.balances(now),
        crashes.counts(now));
  }

  /** Does what time alone causes; to be called some times a second. */
  void refresh(long now) {
    table.setAcceptsCallers(source.isReady());
    table.refresh(now).forEach(quotas::forget);
    boolean wasHead = head;
    head = table.isHead(now);
    if (head != wasHead || cells != table.cellCount()) {
      cells = table.cellCount();
      log.write(
          LogEvent.CELL_CHANGED,
          "cells=" + cells + " head=" + head + " nodes=" + table.nodeCount(now));
    }
    quotas.setVisibleFraction(table.visibleFraction(now));
    divideUpstreams(now);
    applyOthers(now);
  }

  private void divideUpstreams(long now) {
    ImmutableList<Double> weights = table.cellWeights(now);
    if (!weights.equals(cellWeights)) {
      cellWeights = weights;
      dispatcher.preferredUpstreamsChanged(id -> table.isPreferredUpstream(id, weights));
    }
  }

  private void applyOthers(long now) {
    dirty = false;
    ReportedLoad others = table.peerLoad(now);
    crashes.setPeerCounts(others.crashCounts());
    dispatcher.peerUsageChanged(others.usage(), now);
  }

  void close() {
    socket.close();
  }
}

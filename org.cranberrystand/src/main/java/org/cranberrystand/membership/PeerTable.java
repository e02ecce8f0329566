package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * The latest reports of the other nodes, and the fleet state derived from them. Not thread-safe.
 *
 * <p>A small fleet is a single cell, in which every node reports to all others. In a larger fleet,
 * a node receives reports from the nodes of its cell, and the total load of the other cells from
 * the head of its cell; see {@link CellLayout}.
 */
public final class PeerTable {
  /** Head election within a cell: most processor cores first, then the smallest address. */
  static final Comparator<NodeInfo> HEAD_ORDER =
      Comparator.comparingDouble(NodeInfo::cores)
          .reversed()
          .thenComparing(NodeInfo::host, Comparator.naturalOrder());

  /**
   * Two readers, so that a cell still gets changes while one of them loses the store. A reader that
   * reports the loss is replaced by the next node of the cell.
   */
  private static final int STORE_READERS_PER_CELL = 2;

  /**
   * A node that has just started knows too few others to tell its share; reports of all nodes
   * arrive within this time. It is also the window in which requests at cold upstreams are counted,
   * so that a node that restarts does not use its share twice.
   */
  private static final long LEARNING_NANOS = 1_000_000_000L;

  /** A node that knows fewer of the nodes that others know has no share. */
  private static final double MIN_KNOWN_FRACTION = 0.6;

  /** How a received report was handled. */
  public enum ReceiveResult {
    /** The report was ignored: it is outdated, or its load does not count for this node. */
    IGNORED,

    /** The sender is in another cell and should get a reply with the nodes that this node knows. */
    REPLY_REQUIRED,

    /** The load of the report was taken over. */
    APPLIED
  }

  /** A report and the time of its arrival. */
  record ReceivedReport(PeerReport report, long receivedNanos) {
    boolean isFresh(long nowNanos) {
      return nowNanos - receivedNanos < NodeDirectory.DIRECT_REPORT_TTL_NANOS;
    }
  }

  private NodeInfo self;
  private final NodeDirectory directory;
  private final Map<String, ReceivedReport> nodeReports = new HashMap<>();
  private final Map<Integer, ReceivedReport> cellReports = new HashMap<>();
  private ReceivedReport otherCellsReport;
  private CellLayout layout = CellLayout.SINGLE;
  private UnaryOperator<String> upstreamDomain = upstream -> "";
  private boolean acceptsCallers;
  private boolean peersExpected;
  private boolean reportReceived;
  private long firstReportNanos;
  private boolean sharesAsked;
  private long firstShareNanos;

  /**
   * Creates a table without peers.
   *
   * @param self this node
   */
  public PeerTable(NodeInfo self) {
    this.self = self;
    this.directory = new NodeDirectory(self.host());
  }

  /**
   * Replaces the description of this node.
   *
   * @param value the same node; whether it accepts callers is set by {@link #setAcceptsCallers}
   */
  public void setSelf(NodeInfo value) {
    self = value;
  }

  /** Sets that the fleet has other nodes, even before this node hears of any. */
  public void expectPeers() {
    peersExpected = true;
  }

  /**
   * Sets whether callers may be sent to this node.
   *
   * @param value false until the node is ready, and again once it is stopping
   */
  public void setAcceptsCallers(boolean value) {
    acceptsCallers = value;
  }

  /**
   * Returns the description of this node.
   *
   * @return name, addresses, cores, and whether the node accepts callers
   */
  public NodeInfo self() {
    return self.withAcceptsCallers(acceptsCallers);
  }

  /**
   * Processes a report of another node.
   *
   * @param report the report
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return how the report was handled
   */
  public ReceiveResult receive(PeerReport report, long nowNanos) {
    if (report.sender().host().equals(self.host())) {
      return ReceiveResult.IGNORED;
    }
    if (!reportReceived) {
      reportReceived = true;
      firstReportNanos = nowNanos;
    }
    return switch (report.scope()) {
      case NODE -> receiveNodeReport(report, nowNanos);
      case CELL -> receiveCellReport(report, nowNanos);
      case OTHER_CELLS -> receiveOtherCellsReport(report, nowNanos);
    };
  }

  private ReceiveResult receiveNodeReport(PeerReport report, long nowNanos) {
    ReceivedReport previous = nodeReports.get(report.sender().node());
    if (!report.isNewerThan(previous == null ? null : previous.report())) {
      return ReceiveResult.IGNORED;
    }
    boolean sameKnowledge =
        directory.isFresh(report.sender().host(), nowNanos)
            && report.nodeCount() == nodeCount(nowNanos)
            && report.cellCount() == layout.key();
    nodeReports.put(report.sender().node(), new ReceivedReport(report, nowNanos));
    directory.recordDirect(report.sender(), nowNanos);
    report.listedNodes().forEach(node -> directory.addUnconfirmed(node, nowNanos));
    if (isInOwnCell(report.sender())) {
      return ReceiveResult.APPLIED;
    }
    return report.replyRequested() && !sameKnowledge
        ? ReceiveResult.REPLY_REQUIRED
        : ReceiveResult.IGNORED;
  }

  private ReceiveResult receiveCellReport(PeerReport report, long nowNanos) {
    int cell = layout.cellOf(report.sender());
    ReceivedReport previous = cellReports.get(cell);
    if (report.cellCount() != layout.key() || cell == ownCell() || !isNewer(previous, report)) {
      return ReceiveResult.IGNORED;
    }
    cellReports.put(cell, new ReceivedReport(report, nowNanos));
    report.listedNodes().forEach(node -> directory.recordRelayed(node, nowNanos));
    return isHead(nowNanos) ? ReceiveResult.APPLIED : ReceiveResult.REPLY_REQUIRED;
  }

  private ReceiveResult receiveOtherCellsReport(PeerReport report, long nowNanos) {
    if (report.cellCount() != layout.key()
        || !isInOwnCell(report.sender())
        || !isNewer(otherCellsReport, report)) {
      return ReceiveResult.IGNORED;
    }
    otherCellsReport = new ReceivedReport(report, nowNanos);
    report.listedNodes().forEach(node -> directory.recordRelayed(node, nowNanos));
    return ReceiveResult.APPLIED;
  }

  private static boolean isNewer(ReceivedReport previous, PeerReport report) {
    return report.isNewerThan(previous == null ? null : previous.report());
  }

  /**
   * Recomputes the number of cells and removes nodes that were silent for the retention time.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the {@linkplain PeerReport#senderInstance processes} of the removed nodes
   */
  public ImmutableList<String> refresh(long nowNanos) {
    int fleetSize = nodeCount(nowNanos);
    for (ReceivedReport received : nodeReports.values()) {
      // A node that just started takes over the fleet size of nodes that know more nodes.
      fleetSize =
          Math.max(fleetSize, received.isFresh(nowNanos) ? received.report().nodeCount() : 0);
    }
    CellLayout newLayout = CellLayout.of(fleetSize, failureDomains(nowNanos));
    if (!newLayout.equals(layout)) {
      layout = newLayout;
      cellReports.clear();
      otherCellsReport = null;
    }
    directory.removeExpired(nowNanos);
    ImmutableList.Builder<String> removed = ImmutableList.builder();
    nodeReports
        .values()
        .removeIf(
            received -> {
              boolean silent = nowNanos - received.receivedNanos() > NodeDirectory.RETENTION_NANOS;
              if (silent) {
                removed.add(received.report().senderInstance());
              }
              return silent;
            });
    return removed.build();
  }

  private Set<String> failureDomains(long nowNanos) {
    Set<String> domains = new HashSet<>();
    domains.add(self.failureDomain());
    // Includes nodes that were only listed, so that a new node learns of all domains at once.
    directory.possiblyAlive(nowNanos).forEach(node -> domains.add(node.failureDomain()));
    return domains;
  }

  int ownCell() {
    return layout.cellOf(self);
  }

  NodeDirectory directory() {
    return directory;
  }

  /** Returns the address of the head of another cell, if its last report is fresh. */
  Optional<String> headHost(int cell, long nowNanos) {
    ReceivedReport received = cellReports.get(cell);
    return received != null && received.isFresh(nowNanos)
        ? Optional.of(received.report().sender().host())
        : Optional.empty();
  }

  boolean isInOwnCell(NodeInfo node) {
    return layout.count() == 1 || layout.cellOf(node) == ownCell();
  }

  /**
   * Returns the number of cells into which this node divides the fleet.
   *
   * @return at least 1; 1 in a small fleet
   */
  public int cellCount() {
    return layout.count();
  }

  /**
   * Returns how this node divides the fleet into cells.
   *
   * @return the layout
   */
  public CellLayout layout() {
    return layout;
  }

  /**
   * Sets how to look up the failure domains of upstreams.
   *
   * @param value returns the failure domain of the upstream with an identifier, or an empty text if
   *     it is unknown
   */
  public void setUpstreamDomains(UnaryOperator<String> value) {
    upstreamDomain = value;
  }

  /**
   * Returns whether this node is the head of its cell: there are several cells, and no node of its
   * cell with a fresh report takes precedence.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return true if this node sums up the load of its cell
   */
  public boolean isHead(long nowNanos) {
    if (layout.count() == 1) {
      return false;
    }
    return freshOwnCellReports(nowNanos).stream()
        .map(received -> received.report().sender())
        .noneMatch(node -> isBetterHead(node, self()));
  }

  private static boolean isBetterHead(NodeInfo node, NodeInfo other) {
    return node.acceptsCallers() == other.acceptsCallers()
        ? HEAD_ORDER.compare(node, other) < 0
        : node.acceptsCallers();
  }

  List<ReceivedReport> freshOwnCellReports(long nowNanos) {
    return nodeReports.values().stream()
        .filter(received -> received.isFresh(nowNanos) && isInOwnCell(received.report().sender()))
        .toList();
  }

  List<ReceivedReport> freshCellReports(long nowNanos) {
    return cellReports.values().stream().filter(received -> received.isFresh(nowNanos)).toList();
  }

  /**
   * Returns the total load of the nodes of this cell.
   *
   * @param own the load of this node
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the sum over this node and the nodes of its cell with a fresh report; quotas as in
   *     {@code own}
   */
  public ReportedLoad ownCellLoad(ReportedLoad own, long nowNanos) {
    ReportedLoad.Sum sum = new ReportedLoad.Sum();
    sum.addUsage(own);
    addOwnCell(sum, nowNanos);
    return new ReportedLoad(sum.usage(), own.usedQuotaUnits(), own.quotaBalanceUnits());
  }

  /**
   * Returns the total load of the other cells.
   *
   * @param own the load of this node
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the sum over the cells with a fresh report; quotas as in {@code own}
   */
  public ReportedLoad otherCellsLoad(ReportedLoad own, long nowNanos) {
    ReportedLoad.Sum sum = new ReportedLoad.Sum();
    addOtherCells(sum, nowNanos);
    return new ReportedLoad(sum.usage(), own.usedQuotaUnits(), own.quotaBalanceUnits());
  }

  private void addOwnCell(ReportedLoad.Sum sum, long nowNanos) {
    for (ReceivedReport received : nodeReports.values()) {
      if (isInOwnCell(received.report().sender()) && received.isFresh(nowNanos)) {
        sum.addUsage(received.report().load());
      }
    }
  }

  private void addOtherCells(ReportedLoad.Sum sum, long nowNanos) {
    for (ReceivedReport received : cellReports.values()) {
      if (received.isFresh(nowNanos)) {
        sum.addUsage(received.report().load());
      }
    }
  }

  /**
   * Returns the total load of all other nodes.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return usage of nodes with a fresh report; without quotas
   */
  public ReportedLoad peerLoad(long nowNanos) {
    ReportedLoad.Sum sum = new ReportedLoad.Sum();
    addOwnCell(sum, nowNanos);
    if (isHead(nowNanos)) {
      addOtherCells(sum, nowNanos);
    } else if (otherCellsReport != null && otherCellsReport.isFresh(nowNanos)) {
      sum.addUsage(otherCellsReport.report().load());
    }
    return new ReportedLoad(sum.usage(), ImmutableMap.of(), ImmutableMap.of());
  }

  /**
   * Returns the other nodes to which callers may be sent.
   *
   * <p>If no node has a fresh report, this node is probably partitioned from the fleet, and the
   * last reports stay valid.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the nodes that accept callers
   */
  public ImmutableList<NodeInfo> nodesAcceptingCallers(long nowNanos) {
    return directory.nodesAcceptingCallers(nowNanos);
  }

  /**
   * Returns the number of nodes that are probably serving, including this one.
   *
   * <p>A silent node may be partitioned and still serve, unless it last reported that it stops.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return at least 1
   */
  public int nodeCount(long nowNanos) {
    return 1 + directory.presumedAlive(nowNanos).size();
  }

  /**
   * Returns the fraction of the nodes presumed alive, including this one, with a fresh report.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return above 0, at most 1
   */
  public double visibleFraction(long nowNanos) {
    return (1.0 + directory.fresh(nowNanos).size()) / nodeCount(nowNanos);
  }

  /**
   * Returns whether this node knows what others do.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return false if other nodes are known or expected, and none has a fresh report
   */
  public boolean hasFleetView(long nowNanos) {
    return sharingNodeCount(nowNanos) == 1 || !directory.fresh(nowNanos).isEmpty();
  }

  /**
   * Returns the fresh report with the newest version of the published state.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the report, or empty if no node has a fresh one
   */
  public Optional<PeerReport> reportWithNewestVersion(long nowNanos) {
    return nodeReports.values().stream()
        .filter(received -> received.isFresh(nowNanos))
        .map(ReceivedReport::report)
        .max(Comparator.comparing(PeerReport::version));
  }

  /**
   * Returns whether enough other nodes of the cell read the store of published values for this one.
   *
   * <p>Each read of the store is charged, and otherwise every node would read every change.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return false in a fleet of one cell, and on the nodes that should read the store
   */
  public boolean isStoreReadByOthers(long nowNanos) {
    return layout.count() > 1 && storeReadersAhead(nowNanos) >= STORE_READERS_PER_CELL;
  }

  /**
   * Returns the number of other nodes of the cell that read the store and take precedence over this
   * one.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return 0 on the node that reads the store with the least delay
   */
  public int storeReadersAhead(long nowNanos) {
    NodeInfo own = self();
    int count = 0;
    for (ReceivedReport received : nodeReports.values()) {
      PeerReport report = received.report();
      if (report.readsStore()
          && received.isFresh(nowNanos)
          && isInOwnCell(report.sender())
          && isBetterHead(report.sender(), own)) {
        count++;
      }
    }
    return count;
  }

  /**
   * Returns the processor cores of each cell, over the nodes presumed alive.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return cores by index of the cell, above 0
   */
  public ImmutableList<Double> cellWeights(long nowNanos) {
    double[] weights = new double[layout.count()];
    weights[ownCell()] += self.cores();
    for (NodeInfo node : directory.presumedAlive(nowNanos)) {
      weights[layout.cellOf(node)] += node.cores();
    }
    ImmutableList.Builder<Double> list = ImmutableList.builder();
    for (double weight : weights) {
      list.add(Math.max(weight, CellLayout.EMPTY_CELL_WEIGHT));
    }
    return list.build();
  }

  /**
   * Returns the share of this node in the requests that limited upstreams accept from all nodes.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the share according to the nodes that are known now
   */
  public RateShare rateShare(long nowNanos) {
    ImmutableList<String> others = directory.knownHosts();
    int fleetSize = 1 + others.size();
    for (ReceivedReport received : nodeReports.values()) {
      fleetSize =
          Math.max(fleetSize, received.isFresh(nowNanos) ? received.report().nodeCount() : 0);
    }
    if (peersExpected) {
      if (others.isEmpty()) {
        // A node that never heard another one may be the only one that is left.
        return nowNanos - firstShareNanos(nowNanos) < NodeDirectory.GONE_TIMEOUT_NANOS
            ? RateShare.NONE
            : RateShare.of(self.host(), others, CellLayout.MAX_SINGLE_CELL_NODES);
      }
      boolean isLearning = nowNanos - firstReportNanos < LEARNING_NANOS;
      if (isLearning || 1 + others.size() < MIN_KNOWN_FRACTION * fleetSize) {
        return RateShare.NONE;
      }
    }
    return RateShare.of(self.host(), others, fleetSize);
  }

  private long firstShareNanos(long nowNanos) {
    if (!sharesAsked) {
      sharesAsked = true;
      firstShareNanos = nowNanos;
    }
    return firstShareNanos;
  }

  /**
   * Returns how many slots of an upstream this node may use, if nodes must not use the same ones.
   *
   * @param upstream the identifier of the upstream
   * @param slots the number of slots of the upstream
   * @param cellWeights the weights of the cells
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the number of slots; 0 if other nodes use the upstream
   */
  public int slotShare(
      String upstream, int slots, ImmutableList<Double> cellWeights, long nowNanos) {
    return isPreferredUpstream(upstream, cellWeights)
        ? SlotShare.slots(upstream, slots, self.host(), sharingHosts(nowNanos))
        : 0;
  }

  /**
   * Returns the number of nodes among which what all nodes may do together is divided.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return at least 1, this node included
   */
  public int sharingNodeCount(long nowNanos) {
    int others = directory.possiblyUsingUpstreams(nowNanos).size();
    return others == 0 && peersExpected ? CellLayout.MAX_SINGLE_CELL_NODES : 1 + others;
  }

  /**
   * Returns the addresses of the nodes among which the use of an upstream is divided.
   *
   * <p>A node that does not hear of another one must not take over its share, since that one may
   * still use it.
   */
  private List<String> sharingHosts(long nowNanos) {
    List<String> hosts = new ArrayList<>();
    hosts.add(self.host());
    ImmutableList<NodeInfo> others = directory.possiblyUsingUpstreams(nowNanos);
    others.stream().filter(this::isInOwnCell).map(NodeInfo::host).forEach(hosts::add);
    if (others.isEmpty() && peersExpected) {
      for (int i = 1; i < CellLayout.MAX_SINGLE_CELL_NODES; i++) {
        hosts.add("unknown-" + i);
      }
    }
    return hosts;
  }

  /**
   * Returns whether the cell of this node prefers an upstream.
   *
   * @param upstream the identifier of the upstream
   * @param cellWeights the weights of the cells
   * @return true if the upstream is assigned to this cell; always true in a fleet of one cell
   */
  public boolean isPreferredUpstream(String upstream, ImmutableList<Double> cellWeights) {
    return layout.count() == 1
        || layout.preferredCell(upstream, upstreamDomain.apply(upstream), cellWeights) == ownCell();
  }
}

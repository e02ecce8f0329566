package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What this node knows of the others from their reports. Not thread-safe.
 *
 * <p>Small fleets are one cell, in which all report to all. In larger ones a node hears the nodes
 * of its cell, and the sum of the other cells from the head of its cell, see {@link CellLayout}.
 */
public final class PeerTable {
  /** Among nodes of one cell the one with most processor share adds up, then the first address. */
  static final Comparator<KnownNode> HEAD_ORDER =
      Comparator.comparingDouble(KnownNode::cores)
          .reversed()
          .thenComparing(KnownNode::host, Comparator.naturalOrder());

  /** Nodes of a cell that read the store; all of them must be cut off for the cell to be. */
  private static final int STORE_READERS = 3;

  /** What becomes of a report. */
  public enum Receipt {
    /** Nothing: it is old, or from a node that this one does not follow. */
    IGNORED,

    /** The sender is of another cell and should be told whom this node knows. */
    QUESTION,

    /** Its load counts. */
    COUNTED
  }

  /** A report and when it came. */
  record Heard(PeerReport report, long nanos) {
    boolean isFresh(long nowNanos) {
      return nowNanos - nanos < NodeDirectory.DIRECT_FRESH_NANOS;
    }
  }

  private KnownNode self;
  private final NodeDirectory directory;
  private final Map<String, Heard> direct = new HashMap<>();
  private final Map<Integer, Heard> cellReports = new HashMap<>();
  private Heard others;
  private int cells = 1;
  private boolean offered;

  /**
   * Creates a table without peers.
   *
   * @param self this node
   */
  public PeerTable(KnownNode self) {
    this.self = self;
    this.directory = new NodeDirectory(self.host());
  }

  /**
   * Replaces what this node says of itself.
   *
   * @param value the same node; that it is offered is set apart
   */
  public void setSelf(KnownNode value) {
    self = value;
  }

  /**
   * Sets whether callers should be sent to this node.
   *
   * @param value false before it can serve and once it stops
   */
  public void setOffered(boolean value) {
    offered = value;
  }

  /**
   * Returns what this node says of itself.
   *
   * @return name, addresses, and whether it is offered
   */
  public KnownNode self() {
    return self.withOffered(offered);
  }

  /**
   * Takes a report.
   *
   * @param report the report
   * @param nowNanos the time
   * @return what becomes of it
   */
  public Receipt received(PeerReport report, long nowNanos) {
    if (report.sender().host().equals(self.host())) {
      return Receipt.IGNORED;
    }
    return switch (report.reach()) {
      case NODE -> nodeReported(report, nowNanos);
      case CELL -> cellReported(report, nowNanos);
      case OTHERS -> othersReported(report, nowNanos);
    };
  }

  private Receipt nodeReported(PeerReport report, long nowNanos) {
    Heard known = direct.get(report.sender().node());
    if (!report.isNewerThan(known == null ? null : known.report())) {
      return Receipt.IGNORED;
    }
    direct.put(report.sender().node(), new Heard(report, nowNanos));
    directory.heard(report.sender(), nowNanos);
    report.others().forEach(node -> directory.mentioned(node, nowNanos));
    if (isMate(report.sender().host())) {
      return Receipt.COUNTED;
    }
    return report.answerWanted() ? Receipt.QUESTION : Receipt.IGNORED;
  }

  private Receipt cellReported(PeerReport report, long nowNanos) {
    int cell = CellLayout.cellOf(report.sender().host(), cells);
    Heard known = cellReports.get(cell);
    if (report.cells() != cells || cell == ownCell() || !isNext(known, report)) {
      return Receipt.IGNORED;
    }
    cellReports.put(cell, new Heard(report, nowNanos));
    report.others().forEach(node -> directory.told(node, nowNanos));
    return isHead(nowNanos) ? Receipt.COUNTED : Receipt.QUESTION;
  }

  private Receipt othersReported(PeerReport report, long nowNanos) {
    if (report.cells() != cells || !isMate(report.sender().host()) || !isNext(others, report)) {
      return Receipt.IGNORED;
    }
    others = new Heard(report, nowNanos);
    report.others().forEach(node -> directory.told(node, nowNanos));
    return Receipt.COUNTED;
  }

  private static boolean isNext(Heard known, PeerReport report) {
    return report.isNewerThan(known == null ? null : known.report());
  }

  /**
   * Divides the fleet anew if it has grown or shrunk, and forgets nodes that were silent for long.
   *
   * @param nowNanos the time
   * @return the lives of the forgotten nodes
   */
  public ImmutableList<String> refresh(long nowNanos) {
    int nodes = nodeCount(nowNanos);
    for (Heard heard : direct.values()) {
      // Nodes that know more divide the fleet for those that have just started.
      nodes = Math.max(nodes, heard.isFresh(nowNanos) ? heard.report().nodeCount() : 0);
    }
    int wanted = CellLayout.cellCount(nodes);
    if (wanted != cells) {
      cells = wanted;
      cellReports.clear();
      others = null;
    }
    directory.forgetSilent(nowNanos);
    ImmutableList.Builder<String> gone = ImmutableList.builder();
    direct
        .values()
        .removeIf(
            heard -> {
              boolean silent = nowNanos - heard.nanos() > NodeDirectory.FORGET_NANOS;
              if (silent) {
                gone.add(heard.report().life());
              }
              return silent;
            });
    return gone.build();
  }

  int ownCell() {
    return CellLayout.cellOf(self.host(), cells);
  }

  NodeDirectory directory() {
    return directory;
  }

  /** Returns the address of the head of another cell, if it was heard lately. */
  Optional<String> headOf(int cell, long nowNanos) {
    Heard heard = cellReports.get(cell);
    return heard != null && heard.isFresh(nowNanos)
        ? Optional.of(heard.report().sender().host())
        : Optional.empty();
  }

  boolean isMate(String host) {
    return cells == 1 || CellLayout.cellOf(host, cells) == ownCell();
  }

  /**
   * Returns how many cells there are.
   *
   * @return 1 in a small fleet
   */
  public int cellCount() {
    return cells;
  }

  /**
   * Tells whether this node adds up its cell: there is more than one, and no better node is heard.
   *
   * @param nowNanos the time
   * @return true if it does
   */
  public boolean isHead(long nowNanos) {
    if (cells == 1) {
      return false;
    }
    return freshMates(nowNanos).stream()
        .map(heard -> heard.report().sender())
        .noneMatch(node -> isBetterHead(node, self()));
  }

  private static boolean isBetterHead(KnownNode node, KnownNode other) {
    return node.offered() == other.offered() ? HEAD_ORDER.compare(node, other) < 0 : node.offered();
  }

  List<Heard> freshMates(long nowNanos) {
    return direct.values().stream()
        .filter(heard -> heard.isFresh(nowNanos) && isMate(heard.report().sender().host()))
        .toList();
  }

  List<Heard> freshCells(long nowNanos) {
    return cellReports.values().stream().filter(heard -> heard.isFresh(nowNanos)).toList();
  }

  /**
   * Returns what the nodes of a cell use.
   *
   * @param own what this node uses
   * @param nowNanos the time
   * @return the sum over this node and those of its cell heard lately; quotas as in {@code own}
   */
  public ReportedLoad cellLoad(ReportedLoad own, long nowNanos) {
    ReportedLoad.Sum sum = new ReportedLoad.Sum();
    sum.addUsage(own);
    sum.addCrashes(own);
    addMates(sum, nowNanos);
    return new ReportedLoad(sum.usage(), own.quotaUnits(), own.quotaBalances(), sum.crashes());
  }

  /**
   * Returns what the other cells use.
   *
   * @param own what this node uses
   * @param nowNanos the time
   * @return the sum over the cells heard lately; quotas as in {@code own}
   */
  public ReportedLoad othersLoad(ReportedLoad own, long nowNanos) {
    ReportedLoad.Sum sum = new ReportedLoad.Sum();
    addCells(sum, nowNanos);
    return new ReportedLoad(sum.usage(), own.quotaUnits(), own.quotaBalances(), sum.crashes());
  }

  private void addMates(ReportedLoad.Sum sum, long nowNanos) {
    for (Heard heard : direct.values()) {
      if (!isMate(heard.report().sender().host())) {
        continue;
      }
      // Crashes of a node that is cut off or gone still tell something of the request.
      sum.addCrashes(heard.report().load());
      if (heard.isFresh(nowNanos)) {
        sum.addUsage(heard.report().load());
      }
    }
  }

  private void addCells(ReportedLoad.Sum sum, long nowNanos) {
    for (Heard heard : cellReports.values()) {
      sum.addCrashes(heard.report().load());
      if (heard.isFresh(nowNanos)) {
        sum.addUsage(heard.report().load());
      }
    }
  }

  /**
   * Returns what all other nodes use.
   *
   * @param nowNanos the time
   * @return usage of nodes heard lately, and crashes, without quotas
   */
  public ReportedLoad load(long nowNanos) {
    ReportedLoad.Sum sum = new ReportedLoad.Sum();
    addMates(sum, nowNanos);
    if (isHead(nowNanos)) {
      addCells(sum, nowNanos);
    } else if (others != null) {
      sum.addCrashes(others.report().load());
      if (others.isFresh(nowNanos)) {
        sum.addUsage(others.report().load());
      }
    }
    return new ReportedLoad(sum.usage(), ImmutableMap.of(), ImmutableMap.of(), sum.crashes());
  }

  /**
   * Returns the nodes to which callers may be sent, without this one.
   *
   * <p>If no node is heard at all, this node is probably cut off, and the last word stands.
   *
   * @param nowNanos the time
   * @return these nodes
   */
  public ImmutableList<KnownNode> offered(long nowNanos) {
    return directory.offered(nowNanos);
  }

  /**
   * Returns the number of nodes that probably serve, this one included.
   *
   * <p>A silent node may be cut off and serve, unless its last report said that it stops.
   *
   * @param nowNanos the time
   * @return at least 1
   */
  public int nodeCount(long nowNanos) {
    return 1 + directory.counted(nowNanos).size();
  }

  /**
   * Returns which part of the nodes that probably serve can be heard.
   *
   * @param nowNanos the time
   * @return above 0, at most 1
   */
  public double visibleFraction(long nowNanos) {
    return (1.0 + directory.fresh(nowNanos).size()) / nodeCount(nowNanos);
  }

  /**
   * Returns the node heard lately that knows the newest published state.
   *
   * @param nowNanos the time
   * @return its report
   */
  public Optional<PeerReport> newestRevision(long nowNanos) {
    return direct.values().stream()
        .filter(heard -> heard.isFresh(nowNanos))
        .map(Heard::report)
        .max(Comparator.comparingLong(PeerReport::revision));
  }

  /**
   * Tells whether enough nodes of the cell read the store of published values for the others.
   *
   * <p>Each reading of the store is charged, and one change would be read by every node.
   *
   * @param nowNanos the time
   * @return false in a fleet of one cell, and for the nodes that should read it
   */
  public boolean isStoreReadByOthers(long nowNanos) {
    return cells > 1
        && freshMates(nowNanos).stream()
                .filter(heard -> heard.report().followsStore())
                .filter(heard -> isBetterHead(heard.report().sender(), self()))
                .count()
            >= STORE_READERS;
  }

  /**
   * Returns the processor share of each cell, as far as known.
   *
   * @param nowNanos the time
   * @return cores by index of the cell, above 0
   */
  public ImmutableList<Double> cellWeights(long nowNanos) {
    double[] weights = new double[cells];
    weights[ownCell()] += self.cores();
    for (KnownNode node : directory.counted(nowNanos)) {
      weights[CellLayout.cellOf(node.host(), cells)] += node.cores();
    }
    ImmutableList.Builder<Double> list = ImmutableList.builder();
    for (double weight : weights) {
      list.add(Math.max(weight, Double.MIN_NORMAL));
    }
    return list.build();
  }

  /**
   * Tells whether an upstream is one that the cell of this node uses first.
   *
   * @param upstream the identifier of the upstream
   * @param cellWeights the weights of the cells
   * @return true in a fleet of one cell
   */
  public boolean isHome(String upstream, ImmutableList<Double> cellWeights) {
    return cells == 1 || CellLayout.homeOf(upstream, cellWeights) == ownCell();
  }
}

package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BinaryOperator;
import java.util.stream.Stream;

/**
 * Selects the receivers of the reports of a node and the nodes listed in them. Not thread-safe.
 *
 * <p>To bound its traffic, a node sends frequent reports only to its cell and, as head of its cell,
 * to the heads of the other cells. It also contacts a node of another cell from time to time, so
 * that parts of the fleet that lost contact find each other again.
 */
public final class PeerTargets {
  /** Bounds the size of a report; the remaining nodes follow in later reports. */
  private static final int MAX_LISTED_NODES = 48;

  /**
   * Nodes of all other cells fit into one report, about 20 KB with 460 nodes. The list is sent
   * again only when it changes, so the same list in every report costs less than successive parts.
   */
  private static final int MAX_RELAYED_NODES = 512;

  /** Nodes listed in the reports of a node to its cell in a fleet of several cells. */
  private static final int MAX_ADVERTISED_NODES = 8;

  /** Nodes tried at once in a cell whose head is unknown; a node that is not the head replies. */
  private static final int HEAD_SEARCH_NODES = 3;

  /** Short, because nodes that decide on older reports dispatch to the same slot. */
  private static final long MIN_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(90);

  /**
   * Limits a node to about 170 reports per second, sent or received, for any size of cell.
   * Lengthens the interval between reports only in cells of more than 16 nodes.
   */
  private static final long REPORT_INTERVAL_NANOS_PER_HOST = TimeUnit.MILLISECONDS.toNanos(6);

  /** A fraction of the time for which a report stays fresh, so that lost reports do no harm. */
  private static final long UNCHANGED_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(290);

  /**
   * Limits the discovery reports of all nodes to the seeds to about 100 per second, or ten per
   * second for each of ten seeds.
   */
  private static final long DISCOVERY_INTERVAL_NANOS_PER_NODE = TimeUnit.MILLISECONDS.toNanos(10);

  /** Nodes that have known the same fleet for this long search for other nodes less often. */
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Once settled, discovery would otherwise be most of the traffic of an idle node. */
  private static final int SETTLED_DISCOVERY_FACTOR = 4;

  private final PeerTable table;
  private final String ownHost;
  private final Random random;
  private ImmutableSet<String> seeds;
  private int nextListedIndex;
  private int knownNodeCount;
  private long unsettledNanos;

  /**
   * Creates the targets of a node.
   *
   * @param table the reports of the other nodes
   * @param seeds addresses of VMs to contact first
   * @param seed the seed of random choices; must differ between nodes
   */
  public PeerTargets(PeerTable table, ImmutableSet<String> seeds, long seed) {
    this.table = table;
    this.ownHost = table.self().host();
    this.seeds = seeds;
    this.random = new Random(seed);
  }

  /**
   * Replaces the addresses to contact first.
   *
   * @param value addresses of VMs
   */
  public void setSeeds(ImmutableSet<String> value) {
    seeds = value;
  }

  /**
   * Returns the receivers of the frequent reports of this node.
   *
   * @return addresses of VMs: the nodes of its cell and, in a fleet of one cell, the seeds
   */
  public ImmutableSet<String> ownCellHosts() {
    Set<String> hosts = new LinkedHashSet<>(table.cellCount() == 1 ? seeds : ImmutableSet.of());
    table.directory().all().stream()
        .filter(table::isInOwnCell)
        .map(NodeInfo::host)
        .forEach(hosts::add);
    hosts.remove(ownHost);
    return ImmutableSet.copyOf(hosts);
  }

  /**
   * Returns the interval between reports to the cell.
   *
   * @param changed whether the load of the node has changed since the last report
   * @return the interval in nanoseconds
   */
  public long reportIntervalNanos(boolean changed) {
    long minIntervalNanos =
        Math.max(MIN_REPORT_INTERVAL_NANOS, ownCellHosts().size() * REPORT_INTERVAL_NANOS_PER_HOST);
    return changed ? minIntervalNanos : Math.max(minIntervalNanos, UNCHANGED_REPORT_INTERVAL_NANOS);
  }

  /**
   * Returns the interval between reports to the {@linkplain #discoveryHosts discovery hosts}.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the interval in nanoseconds
   */
  public long discoveryIntervalNanos(long nowNanos) {
    int nodeCount = table.nodeCount(nowNanos);
    if (nodeCount != knownNodeCount || table.visibleFraction(nowNanos) < 1) {
      knownNodeCount = nodeCount;
      unsettledNanos = nowNanos;
    }
    long intervalNanos =
        Math.max(UNCHANGED_REPORT_INTERVAL_NANOS, nodeCount * DISCOVERY_INTERVAL_NANOS_PER_NODE);
    return nowNanos - unsettledNanos < SETTLE_NANOS
        ? intervalNanos
        : SETTLED_DISCOVERY_FACTOR * intervalNanos;
  }

  /**
   * Returns the receivers of infrequent reports, by which parts of the fleet that do not know each
   * other are connected.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return addresses of VMs: a random seed and a random node of another cell, or all seeds while
   *     no node has a fresh report; empty in a fleet of one cell
   */
  public ImmutableSet<String> discoveryHosts(long nowNanos) {
    if (table.cellCount() == 1) {
      return ImmutableSet.of();
    }
    List<String> otherCellHosts = new ArrayList<>();
    table.directory().all().stream()
        .filter(node -> !table.isInOwnCell(node))
        .map(NodeInfo::host)
        .forEach(otherCellHosts::add);
    Set<String> hosts = new LinkedHashSet<>();
    if (table.directory().fresh(nowNanos).isEmpty()) {
      hosts.addAll(seeds);
    } else {
      pickRandom(seeds.asList()).ifPresent(hosts::add);
      pickRandom(otherCellHosts).ifPresent(hosts::add);
    }
    hosts.remove(ownHost);
    return ImmutableSet.copyOf(hosts);
  }

  private Optional<String> pickRandom(List<String> hosts) {
    return hosts.isEmpty()
        ? Optional.empty()
        : Optional.of(hosts.get(random.nextInt(hosts.size())));
  }

  /**
   * Returns the receivers of the total load of this cell, which its head sends.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return addresses of VMs: the heads of the other cells, and for a cell without a known head its
   *     likely head and a few random nodes
   */
  public ImmutableSet<String> otherHeadHosts(long nowNanos) {
    Set<String> hosts = new LinkedHashSet<>();
    otherCells(nowNanos)
        .forEach(
            (cell, nodes) -> {
              Optional<String> head = table.headHost(cell, nowNanos);
              hosts.add(head.orElseGet(() -> likelyHead(nodes).host()));
              if (head.isEmpty()) {
                List<String> cellHosts = nodes.stream().map(NodeInfo::host).toList();
                for (int i = 0; i < HEAD_SEARCH_NODES; i++) {
                  pickRandom(cellHosts).ifPresent(hosts::add);
                }
              }
            });
    return ImmutableSet.copyOf(hosts);
  }

  private Map<Integer, List<NodeInfo>> otherCells(long nowNanos) {
    Map<Integer, List<NodeInfo>> byCell = new HashMap<>();
    for (NodeInfo node : table.directory().possiblyAlive(nowNanos)) {
      int cell = table.layout().cellOf(node);
      byCell.computeIfAbsent(cell, c -> new ArrayList<>()).add(node);
    }
    byCell.remove(table.ownCell());
    return byCell;
  }

  private static NodeInfo likelyHead(List<NodeInfo> nodes) {
    return nodes.stream().min(PeerTable.HEAD_ORDER).orElseThrow();
  }

  /**
   * Returns the nodes to list in the reports of this node to its cell and to discovery hosts.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return nodes of its cell; a random selection in a fleet of several cells
   */
  public ImmutableList<NodeInfo> nodesToAdvertise(long nowNanos) {
    List<NodeInfo> cellNodes =
        new ArrayList<>(
            table.directory().fresh(nowNanos).stream().filter(table::isInOwnCell).toList());
    if (table.cellCount() > 1) {
      Collections.shuffle(cellNodes, random);
    }
    return Stream.concat(
            cellNodes.stream()
                .limit(
                    table.cellCount() == 1
                        ? CellLayout.MAX_SINGLE_CELL_NODES
                        : MAX_ADVERTISED_NODES),
            nodeOfEachOtherDomain(nowNanos))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns a node of each other failure domain, and one whose domain is unknown. Nodes whose cells
   * differ because they do not know the same domains learn of them from any other node.
   */
  private Stream<NodeInfo> nodeOfEachOtherDomain(long nowNanos) {
    if (table.cellCount() == 1) {
      return Stream.empty();
    }
    Map<String, NodeInfo> byDomain = new TreeMap<>();
    for (NodeInfo node : table.directory().fresh(nowNanos)) {
      byDomain.merge(node.failureDomain(), node, BinaryOperator.minBy(PeerTable.HEAD_ORDER));
    }
    byDomain.remove(table.self().failureDomain());
    return byDomain.values().stream();
  }

  /**
   * Returns the nodes to list in a reply to a node of another cell.
   *
   * @param receiver that node
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return nodes of the cell of that node, and the likely heads of all other cells
   */
  public ImmutableList<NodeInfo> nodesForReply(NodeInfo receiver, long nowNanos) {
    int cell = table.layout().cellOf(receiver);
    List<NodeInfo> nodes = new ArrayList<>();
    table.directory().fresh(nowNanos).stream()
        .filter(node -> table.layout().cellOf(node) == cell)
        .limit(MAX_LISTED_NODES)
        .forEach(nodes::add);
    otherCells(nowNanos).values().forEach(cellNodes -> nodes.add(likelyHead(cellNodes)));
    nodes.add(likelyHead(ownCellNodes(nowNanos)));
    nodeOfEachOtherDomain(nowNanos).forEach(nodes::add);
    return ImmutableList.copyOf(nodes);
  }

  /**
   * Returns the nodes that the head of a cell lists in the report on its cell.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return this node and the nodes of its cell with a fresh report
   */
  public ImmutableList<NodeInfo> ownCellNodes(long nowNanos) {
    return ImmutableList.<NodeInfo>builder()
        .add(table.self())
        .addAll(
            table.freshOwnCellReports(nowNanos).stream()
                .map(received -> received.report().sender())
                .sorted(Comparator.comparing(NodeInfo::host))
                .limit(MAX_LISTED_NODES - 1L)
                .toList())
        .build();
  }

  /**
   * Returns the nodes that the head of a cell lists in the report on the other cells. If one report
   * cannot hold all of them, successive calls return successive parts.
   *
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return nodes of other cells, as listed by their heads
   */
  public ImmutableList<NodeInfo> otherCellNodes(long nowNanos) {
    // The order is always the same, so that an unchanged list is recognized.
    List<NodeInfo> all =
        table.freshCellReports(nowNanos).stream()
            .flatMap(received -> received.report().listedNodes().stream())
            .sorted(Comparator.comparing(NodeInfo::host))
            .toList();
    if (all.size() <= MAX_RELAYED_NODES) {
      return ImmutableList.copyOf(all);
    }
    ImmutableList.Builder<NodeInfo> part = ImmutableList.builder();
    for (int i = 0; i < MAX_RELAYED_NODES; i++) {
      part.add(all.get(Math.floorMod(nextListedIndex++, all.size())));
    }
    return part.build();
  }
}

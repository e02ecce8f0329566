package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Whom a node reports to, and which nodes it lists there. Not thread-safe.
 *
 * <p>Bounds what a node sends: its cell often, the other heads if it is one, and now and then a
 * node of another cell, so that parts of the fleet that lost each other meet again.
 */
public final class PeerTargets {
  /** Bounds a report; the rest follows in the next ones. */
  private static final int MAX_LISTED_NODES = 48;

  /** What a node of a larger fleet adds to its report to its cell. */
  private static final int MAX_MENTIONED_NODES = 8;

  /**
   * Nodes of a cell whose head is not heard that are tried at once; one of them may be the head.
   */
  private static final int SEARCHED_NODES = 3;

  /** Placement by older reports lets several nodes take the same slot. */
  private static final long LEAST_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(90);

  /** Bounds the reports that a node sends and reads to about 125 a second, however large a cell. */
  private static final long REPORT_NANOS_PER_MATE = TimeUnit.MILLISECONDS.toNanos(8);

  /** Several reports fit into the time after which a silent node does not count. */
  private static final long UNCHANGED_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(290);

  /** Bounds the questions that all nodes together send to a seed to some ten a second. */
  private static final long CONTACT_NANOS_PER_NODE = TimeUnit.MILLISECONDS.toNanos(10);

  private final PeerTable table;
  private final String ownHost;
  private final Random random;
  private ImmutableSet<String> seeds;
  private int listed;

  /**
   * Creates the targets of a node.
   *
   * @param table what it knows of the others
   * @param seeds addresses of VMs to call first
   * @param seed the seed of choices among equal nodes; must differ between nodes
   */
  public PeerTargets(PeerTable table, ImmutableSet<String> seeds, long seed) {
    this.table = table;
    this.ownHost = table.self().host();
    this.seeds = seeds;
    this.random = new Random(seed);
  }

  /**
   * Replaces the addresses to call first.
   *
   * @param value addresses of VMs
   */
  public void setSeeds(ImmutableSet<String> value) {
    seeds = value;
  }

  /**
   * Returns where the report of this node is sent often.
   *
   * @return addresses of VMs: the cell of this node, and the seeds while there is one cell
   */
  public ImmutableSet<String> mateHosts() {
    Set<String> hosts = new LinkedHashSet<>(table.cellCount() == 1 ? seeds : ImmutableSet.of());
    table.directory().all().stream().map(KnownNode::host).filter(table::isMate).forEach(hosts::add);
    hosts.remove(ownHost);
    return ImmutableSet.copyOf(hosts);
  }

  /**
   * Returns how long after a report the next one is sent.
   *
   * @param changed whether the load of the node has changed since
   * @return the time in nanoseconds
   */
  public long reportIntervalNanos(boolean changed) {
    long least = Math.max(LEAST_REPORT_NANOS, mateHosts().size() * REPORT_NANOS_PER_MATE);
    return changed ? least : Math.max(least, UNCHANGED_REPORT_NANOS);
  }

  /**
   * Returns how long after a report to the contacts the next one is sent.
   *
   * @param nowNanos the time
   * @return the time in nanoseconds
   */
  public long contactIntervalNanos(long nowNanos) {
    return Math.max(UNCHANGED_REPORT_NANOS, table.nodeCount(nowNanos) * CONTACT_NANOS_PER_NODE);
  }

  /**
   * Returns where the report of this node is sent now and then, so that parts of the fleet that do
   * not know each other meet.
   *
   * @param nowNanos the time
   * @return addresses of VMs: one seed and one node of another cell, or all seeds while no node is
   *     heard
   */
  public ImmutableSet<String> contactHosts(long nowNanos) {
    if (table.cellCount() == 1) {
      return ImmutableSet.of();
    }
    List<String> others = new ArrayList<>();
    table.directory().all().stream()
        .map(KnownNode::host)
        .filter(host -> !table.isMate(host))
        .forEach(others::add);
    Set<String> hosts = new LinkedHashSet<>();
    if (table.directory().fresh(nowNanos).isEmpty()) {
      hosts.addAll(seeds);
    } else {
      any(seeds.asList()).ifPresent(hosts::add);
      any(others).ifPresent(hosts::add);
    }
    hosts.remove(ownHost);
    return ImmutableSet.copyOf(hosts);
  }

  private Optional<String> any(List<String> hosts) {
    return hosts.isEmpty()
        ? Optional.empty()
        : Optional.of(hosts.get(random.nextInt(hosts.size())));
  }

  /**
   * Returns where the head of a cell sends the sum of its cell.
   *
   * @param nowNanos the time
   * @return addresses of VMs: the heads of the other cells, and more nodes of those that are silent
   */
  public ImmutableSet<String> headHosts(long nowNanos) {
    Set<String> hosts = new LinkedHashSet<>();
    otherCells(nowNanos)
        .forEach(
            (cell, nodes) -> {
              Optional<String> head = table.headOf(cell, nowNanos);
              hosts.add(head.orElseGet(() -> best(nodes).host()));
              if (head.isEmpty()) {
                List<String> search = nodes.stream().map(KnownNode::host).toList();
                for (int i = 0; i < SEARCHED_NODES; i++) {
                  any(search).ifPresent(hosts::add);
                }
              }
            });
    return ImmutableSet.copyOf(hosts);
  }

  private Map<Integer, List<KnownNode>> otherCells(long nowNanos) {
    Map<Integer, List<KnownNode>> byCell = new HashMap<>();
    for (KnownNode node : table.directory().candidates(nowNanos)) {
      int cell = CellLayout.cellOf(node.host(), table.cellCount());
      byCell.computeIfAbsent(cell, c -> new ArrayList<>()).add(node);
    }
    byCell.remove(table.ownCell());
    return byCell;
  }

  private static KnownNode best(List<KnownNode> nodes) {
    return nodes.stream().min(PeerTable.HEAD_ORDER).orElseThrow();
  }

  /**
   * Returns the nodes to mention in the report of this node.
   *
   * @param nowNanos the time
   * @return nodes of its cell; some of them in a large fleet
   */
  public ImmutableList<KnownNode> mentions(long nowNanos) {
    List<KnownNode> mates =
        new ArrayList<>(
            table.directory().fresh(nowNanos).stream()
                .filter(node -> table.isMate(node.host()))
                .toList());
    if (table.cellCount() > 1) {
      Collections.shuffle(mates, random);
    }
    return mates.stream()
        .limit(table.cellCount() == 1 ? CellLayout.MAX_SINGLE_CELL_NODES : MAX_MENTIONED_NODES)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the nodes that a node of another cell should know.
   *
   * @param host the address of its VM
   * @param nowNanos the time
   * @return nodes of its cell, the probable head of every other cell and this node's own
   */
  public ImmutableList<KnownNode> answerTo(String host, long nowNanos) {
    int cell = CellLayout.cellOf(host, table.cellCount());
    List<KnownNode> nodes = new ArrayList<>();
    table.directory().fresh(nowNanos).stream()
        .filter(node -> CellLayout.cellOf(node.host(), table.cellCount()) == cell)
        .limit(MAX_LISTED_NODES)
        .forEach(nodes::add);
    otherCells(nowNanos).values().forEach(others -> nodes.add(best(others)));
    nodes.add(best(cellNodes(nowNanos)));
    return ImmutableList.copyOf(nodes);
  }

  /**
   * Returns the nodes of its cell that a head lists, itself included.
   *
   * @param nowNanos the time
   * @return nodes heard lately
   */
  public ImmutableList<KnownNode> cellNodes(long nowNanos) {
    return ImmutableList.<KnownNode>builder()
        .add(table.self())
        .addAll(
            table.freshMates(nowNanos).stream()
                .map(heard -> heard.report().sender())
                .limit(MAX_LISTED_NODES - 1L)
                .toList())
        .build();
  }

  /**
   * Returns nodes of other cells that a head lists to its cell, each time the next part of them.
   *
   * @param nowNanos the time
   * @return nodes that their heads hear
   */
  public ImmutableList<KnownNode> otherNodes(long nowNanos) {
    List<KnownNode> all =
        table.freshCells(nowNanos).stream()
            .flatMap(heard -> heard.report().others().stream())
            .toList();
    if (all.size() <= MAX_LISTED_NODES) {
      return ImmutableList.copyOf(all);
    }
    ImmutableList.Builder<KnownNode> part = ImmutableList.builder();
    for (int i = 0; i < MAX_LISTED_NODES; i++) {
      part.add(all.get(Math.floorMod(listed++, all.size())));
    }
    return part.build();
  }
}

package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.hash.Hashing;
import java.util.Collection;
import java.util.List;

/**
 * Divides the nodes into cells, which bounds the number of reports that each node sends and reads.
 *
 * <p>Nodes of a cell report to each other. The head of each cell reports the total load of the cell
 * to the heads of the other cells. If the failure domains have enough nodes, all nodes of a cell
 * are in the same domain, since traffic between domains is expensive. Otherwise, the number of
 * cells is close to the number of nodes per cell, so the messages per node grow with the square
 * root of the fleet size. All functions are deterministic and give the same result on every node
 * that knows the same fleet size and failure domains. Immutable. Designed for 460 nodes.
 *
 * @param count the number of cells, at least 1
 * @param domains the failure domains of the nodes in ascending order; empty if the cells do not
 *     follow the domains
 */
public record CellLayout(int count, ImmutableList<String> domains) {
  /** Up to this fleet size there is one cell, and every node reports to all others. */
  static final int MAX_SINGLE_CELL_NODES = 16;

  /** With fewer nodes per failure domain on average, the loss of a node would empty a cell. */
  private static final int MIN_NODES_PER_DOMAIN = 4;

  /**
   * Domains are divided until their cells have at most this many nodes on average. With 12 nodes, a
   * node sends about 120 reports per second under load.
   */
  private static final int MAX_NODES_PER_DOMAIN_CELL = 12;

  /** The weight of a cell without nodes; weights must be above 0. */
  static final double EMPTY_CELL_WEIGHT = Double.MIN_NORMAL;

  /** The layout of a fleet of one cell. */
  static final CellLayout SINGLE = new CellLayout(1, ImmutableList.of());

  /**
   * Returns the layout of a fleet.
   *
   * @param nodes the number of nodes
   * @param nodeDomains the failure domains of the known nodes; an empty text if the domain of a
   *     node is unknown, as for nodes of a build that does not report it
   * @return the layout
   */
  static CellLayout of(int nodes, Collection<String> nodeDomains) {
    int cells = cellCount(nodes);
    ImmutableList<String> domains = ImmutableSortedSet.copyOf(nodeDomains).asList();
    if (cells == 1
        || domains.size() < 2
        || domains.contains("")
        || nodes < MIN_NODES_PER_DOMAIN * domains.size()) {
      return new CellLayout(cells, ImmutableList.of());
    }
    int perDomain = 1;
    while (2 * perDomain * domains.size() <= cells
        && nodes > MAX_NODES_PER_DOMAIN_CELL * perDomain * domains.size()) {
      perDomain *= 2;
    }
    return new CellLayout(perDomain * domains.size(), domains);
  }

  /**
   * Returns a number that differs between layouts and is part of the reports. Nodes accept the load
   * of cells only from nodes with the same layout.
   *
   * @return the number of cells, as in earlier builds; negative if the cells follow the domains
   */
  public int key() {
    return domains.isEmpty()
        ? count
        : (int) (hash(count + " " + String.join(" ", domains)) | Integer.MIN_VALUE);
  }

  /**
   * Returns the cell of a node.
   *
   * @param node the node
   * @return the index of the cell, from 0 to {@code count - 1}
   */
  int cellOf(NodeInfo node) {
    int domain = domains.indexOf(node.failureDomain());
    if (domain < 0) {
      return cellOf(node.host(), count);
    }
    int perDomain = count / domains.size();
    return domain * perDomain + cellOf(node.host(), perDomain);
  }

  /**
   * Returns the cell whose nodes prefer an upstream: a cell in the failure domain of the upstream,
   * if there is one with nodes.
   *
   * @param upstream the identifier of the upstream
   * @param failureDomain the failure domain of the upstream; empty if unknown
   * @param cellWeights the processor cores of each cell; at most {@link #EMPTY_CELL_WEIGHT} for a
   *     cell without nodes
   * @return the index of the cell
   */
  int preferredCell(String upstream, String failureDomain, List<Double> cellWeights) {
    int domain = domains.indexOf(failureDomain);
    if (domain < 0) {
      return preferredCell(upstream, cellWeights);
    }
    int perDomain = count / domains.size();
    int first = domain * perDomain;
    List<Double> domainWeights = cellWeights.subList(first, first + perDomain);
    return domainWeights.stream().allMatch(weight -> weight <= EMPTY_CELL_WEIGHT)
        ? preferredCell(upstream, cellWeights)
        : first + preferredCell(upstream, domainWeights);
  }

  /**
   * Returns the number of cells, a power of two so that it rarely changes with the fleet size.
   *
   * @param nodes the number of nodes in the fleet
   * @return the number of cells, at least 1
   */
  public static int cellCount(int nodes) {
    if (nodes <= MAX_SINGLE_CELL_NODES) {
      return 1;
    }
    double exponent = Math.log(Math.sqrt(nodes)) / Math.log(2);
    return 1 << Math.max(1, (int) Math.round(exponent));
  }

  /**
   * Returns the cell of a node.
   *
   * @param host the address of its VM
   * @param cells the number of cells
   * @return the index of the cell, from 0 to {@code cells - 1}
   */
  public static int cellOf(String host, int cells) {
    return cells == 1 ? 0 : Hashing.consistentHash(hash(host), cells);
  }

  /**
   * Returns the cell whose nodes prefer an upstream. A cell is assigned upstreams in proportion to
   * its weight.
   *
   * @param upstream the identifier of the upstream
   * @param cellWeights the processor cores of each cell, above 0
   * @return the index of the cell
   */
  public static int preferredCell(String upstream, List<Double> cellWeights) {
    int preferred = 0;
    double maxScore = Double.NEGATIVE_INFINITY;
    for (int cell = 0; cell < cellWeights.size(); cell++) {
      // Weighted rendezvous hashing reassigns few upstreams when one weight changes.
      double uniform = ((hash(upstream + "@" + cell) >>> 11) + 1) * 0x1.0p-53;
      double score = cellWeights.get(cell) / -Math.log(Math.min(uniform, 1 - 0x1.0p-53));
      if (score > maxScore) {
        maxScore = score;
        preferred = cell;
      }
    }
    return preferred;
  }

  static long hash(String text) {
    return Hashing.murmur3_128().hashUnencodedChars(text).asLong();
  }
}

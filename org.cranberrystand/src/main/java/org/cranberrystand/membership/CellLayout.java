package org.cranberrystand.membership;

import com.google.common.hash.Hashing;
import java.util.List;

/**
 * How nodes are divided into cells, which bounds the reports that each node sends and reads.
 *
 * <p>Nodes of a cell report to each other; the head of each cell reports its sum to the others.
 * With about as many cells as nodes in a cell, the messages of a node grow with the square root of
 * the fleet. All functions give the same result on every node. Immutable.
 */
public final class CellLayout {
  /** Up to this size every node reports to all others. */
  static final int MAX_SINGLE_CELL_NODES = 16;

  private CellLayout() {}

  /**
   * Returns the number of cells: a power of two, so that it seldom changes with the fleet.
   *
   * @param nodes the number of nodes
   * @return at least 1
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
   * @return from 0 to below the number of cells
   */
  public static int cellOf(String host, int cells) {
    return cells == 1 ? 0 : Hashing.consistentHash(hash(host), cells);
  }

  /**
   * Returns the cell whose nodes use an upstream first: cells get upstreams by their weights.
   *
   * @param upstream the identifier of the upstream
   * @param cellWeights the processor share of each cell, in cores
   * @return the index of the cell
   */
  public static int homeOf(String upstream, List<Double> cellWeights) {
    int home = 0;
    double best = Double.NEGATIVE_INFINITY;
    for (int cell = 0; cell < cellWeights.size(); cell++) {
      // Weighted rendezvous hashing: a change of one weight moves few upstreams.
      double unit = ((hash(upstream + "@" + cell) >>> 11) + 1) * 0x1.0p-53;
      double score = cellWeights.get(cell) / -Math.log(Math.min(unit, 1 - 0x1.0p-53));
      if (score > best) {
        best = score;
        home = cell;
      }
    }
    return home;
  }

  private static long hash(String text) {
    return Hashing.murmur3_128().hashUnencodedChars(text).asLong();
  }
}

package org.cranberrystand.membership;

import com.google.common.hash.Hashing;
import java.util.List;

/**
 * Divides the nodes into cells, which bounds the number of reports that each node sends and reads.
 *
 * <p>Nodes of a cell report to each other. The head of each cell reports the total load of the cell
 * to the heads of the other cells. The number of cells is close to the number of nodes per cell, so
 * the messages per node grow with the square root of the fleet size. All functions are
 * deterministic and give the same result on every node. Stateless.
 */
public final class CellLayout {
  /** Up to this fleet size there is one cell, and every node reports to all others. */
  static final int MAX_SINGLE_CELL_NODES = 16;

  private CellLayout() {}

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

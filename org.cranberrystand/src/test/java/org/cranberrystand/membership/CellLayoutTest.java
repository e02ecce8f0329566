package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.Test;

public final class CellLayoutTest {

  @Test
  public void smallFleetsAreOneCell() {
    assertEquals(CellLayout.cellCount(1), 1);
    assertEquals(CellLayout.cellCount(CellLayout.MAX_SINGLE_CELL_NODES), 1);
    assertEquals(CellLayout.cellOf("10.0.0.1", 1), 0);
  }

  /** Guards against message counts that grow with the fleet size instead of its square root. */
  @Test
  public void cellCountIsNearTheNodesPerCell() {
    for (int nodes : new int[] {30, 76, 84, 300, 460}) {
      int cells = CellLayout.cellCount(nodes);
      double perCell = (double) nodes / cells;
      assertTrue(
          cells / perCell <= 2 && perCell / cells <= 2, nodes + " nodes in " + cells + " cells");
    }
  }

  @Test
  public void cellsAreOfSimilarSize() {
    int[] sizes = new int[8];
    for (int i = 0; i < 800; i++) {
      sizes[CellLayout.cellOf("10." + i % 4 + ".0." + i / 4, 8)]++;
    }
    for (int size : sizes) {
      assertEquals(size, 100, 35);
    }
  }

  /** Guards against reassignment of most upstreams when one node joins a cell. */
  @Test
  public void changeOfOneWeightMovesFewUpstreams() {
    List<Double> before = Collections.nCopies(8, 4.0);
    List<Double> after = new ArrayList<>(before);
    after.set(3, 4.4);
    int moved = 0;
    for (int i = 0; i < 1_000; i++) {
      moved +=
          CellLayout.preferredCell("e" + i, before) == CellLayout.preferredCell("e" + i, after)
              ? 0
              : 1;
    }
    assertTrue(moved < 30, "upstreams moved: " + moved);
  }

  @Test
  public void cellsGetUpstreamsByTheirWeights() {
    List<Double> weights = List.of(1.0, 3.0);
    int second = 0;
    for (int i = 0; i < 4_000; i++) {
      second += CellLayout.preferredCell("e" + i, weights);
    }
    assertEquals(second, 3_000, 150);
  }
}

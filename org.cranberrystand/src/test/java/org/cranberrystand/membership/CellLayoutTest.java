package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
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

  private static CellLayout layout(int nodes, int domains) {
    return CellLayout.of(
        nodes, IntStream.range(0, domains).mapToObj(i -> "fd-" + i).collect(Collectors.toSet()));
  }

  private static NodeInfo node(int number, String domain) {
    return new NodeInfo("n" + number, "10.0.0." + number, "c", true, 1, domain);
  }

  /** Guards against a change for small fleets, and against cells of very few nodes. */
  @Test
  public void cellsFollowDomainsThatHaveEnoughNodes() {
    assertEquals(layout(16, 4), CellLayout.SINGLE);
    assertEquals(layout(17, 5).domains(), List.of());
    assertEquals(layout(36, 1).domains(), List.of());
    assertEquals(layout(36, 4).count(), 4);
    assertEquals(layout(68, 4).count(), 8);
    assertEquals(layout(83, 4).count(), 8);
    assertEquals(layout(460, 4).count(), 16);
  }

  /** Guards against nodes that mix the loads of cells of different layouts. */
  @Test
  public void keysOfLayoutsDiffer() {
    assertEquals(layout(90, 0).key(), 8);
    Set<Integer> keys = new HashSet<>();
    for (int domains = 2; domains <= 8; domains++) {
      assertTrue(layout(90, domains).key() < 0);
      keys.add(layout(90, domains).key());
    }
    assertEquals(keys.size(), 7);
  }

  @Test
  public void nodesOfACellShareTheirDomain() {
    CellLayout layout = layout(90, 4);
    for (int i = 0; i < 90; i++) {
      assertEquals(layout.cellOf(node(i, "fd-" + i % 4)) / 2, i % 4);
    }
  }

  /** Guards against requests and responses that cross failure domains without need. */
  @Test
  public void upstreamIsPreferredInItsDomainUnlessThatHasNoNodes() {
    CellLayout layout = layout(90, 4);
    List<Double> weights = new ArrayList<>(Collections.nCopies(8, 4.0));
    Set<Integer> preferred = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      preferred.add(layout.preferredCell("e" + i, "fd-2", weights));
    }
    assertEquals(preferred, Set.of(4, 5));

    weights.set(4, CellLayout.EMPTY_CELL_WEIGHT);
    assertEquals(layout.preferredCell("e", "fd-2", weights), 5);
    weights.set(5, CellLayout.EMPTY_CELL_WEIGHT);
    assertTrue(Math.abs(layout.preferredCell("e", "fd-2", weights) - 4.5) > 1);
  }
}

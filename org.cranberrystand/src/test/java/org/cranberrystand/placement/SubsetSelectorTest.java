package org.cranberrystand.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests of {@link SubsetSelector}. */
public class SubsetSelectorTest {
  private static final int NODES_PER_ENGINE = 8;
  private final SubsetSelector selector = new SubsetSelector(NODES_PER_ENGINE);

  private static List<String> names(String prefix, int count) {
    return IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
  }

  /** Guards against engines with too few nodes, and nodes with too few or too many engines. */
  @Test
  public void subsetsCoverEnginesEvenly() {
    Map<String, ImmutableSet<String>> subsets =
        selector.assign(names("node-", 92), names("engine-", 620));
    Map<String, Integer> users = new HashMap<>();
    subsets.values().forEach(s -> s.forEach(e -> users.merge(e, 1, Integer::sum)));
    assertEquals(users.size(), 620);
    long full = users.values().stream().filter(n -> n == NODES_PER_ENGINE).count();
    assertTrue(full >= 610, "engines with all of their nodes: " + full);
    double mean = 620.0 * NODES_PER_ENGINE / 92;
    for (ImmutableSet<String> subset : subsets.values()) {
      assertTrue(subset.size() <= Math.ceil(1.25 * mean), "largest subset: " + subset.size());
      assertTrue(subset.size() >= mean / 2, "smallest subset: " + subset.size());
    }
  }

  /** Guards against reassignment of most engines when one node leaves. */
  @Test
  public void oneLostNodeChangesFewEngines() {
    SplittableRandom random = new SplittableRandom(7);
    List<String> engines = names("engine-", 300);
    for (int round = 0; round < 20; round++) {
      List<String> nodes = names("node-" + round + "-", 40 + random.nextInt(40));
      String lost = nodes.get(random.nextInt(nodes.size()));
      List<String> left = nodes.stream().filter(n -> !n.equals(lost)).toList();
      Map<String, ImmutableSet<String>> before = selector.assign(nodes, engines);
      Map<String, ImmutableSet<String>> after = selector.assign(left, engines);
      int added = 0;
      for (String node : left) {
        added += Sets.difference(after.get(node), before.get(node)).size();
      }
      int needed = before.get(lost).size();
      assertTrue(
          added <= 3 * needed, "engines added: " + added + ", engines of the lost node: " + needed);
    }
  }

  /** Guards against a small fleet that does not use all of its engines. */
  @Test
  public void smallFleetUsesEveryEngine() {
    List<String> engines = names("engine-", 12);
    assertEquals(selector.select("node-3", names("node-", 8), engines).size(), 12);
  }
}

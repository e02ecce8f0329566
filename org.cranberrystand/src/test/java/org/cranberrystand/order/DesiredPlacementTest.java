package org.cranberrystand.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.cranberrystand.bundle.EngineRole;
import org.cranberrystand.bundle.ModelDeployment;
import org.testng.annotations.Test;

/** Guards against nodes that compute different placements and against unnecessary model reloads. */
public class DesiredPlacementTest {
  private static final long SEED = 20261203;

  @Test
  public void engineOrderDoesNotChangeThePlacement() {
    List<String> engines = engines(40);
    ImmutableMap<String, EngineTarget> expected =
        DesiredPlacement.assign(deployments("1"), engines);
    Random random = new Random(SEED);
    for (int i = 0; i < 50; i++) {
      Collections.shuffle(engines, random);
      assertEquals(DesiredPlacement.assign(deployments("1"), engines), expected);
    }
  }

  @Test
  public void engineCountsMatchTheShares() {
    for (int count = 1; count < 60; count++) {
      ImmutableMap<String, EngineTarget> targets =
          DesiredPlacement.assign(deployments("1"), engines(count));
      long small = targets.values().stream().filter(t -> t.model().equals("small")).count();
      assertTrue(Math.abs(small - 0.75 * count) < 1, count + " engines, small on " + small);
      assertEquals(targets.size(), count);
    }
  }

  @Test
  public void newEngineChangesFewOthers() {
    ImmutableMap<String, EngineTarget> before =
        DesiredPlacement.assign(deployments("1"), engines(40));
    ImmutableMap<String, EngineTarget> after =
        DesiredPlacement.assign(deployments("1"), engines(41));
    long changed =
        before.entrySet().stream().filter(e -> !e.getValue().equals(after.get(e.getKey()))).count();
    assertTrue(changed <= 2, "engines changed: " + changed);
  }

  @Test
  public void newVersionIsPlacedOnTheSameEngines() {
    ImmutableMap<String, EngineTarget> before =
        DesiredPlacement.assign(deployments("1"), engines(40));
    DesiredPlacement.assign(deployments("2"), engines(40))
        .forEach((engine, target) -> assertEquals(target.model(), before.get(engine).model()));
  }

  private static List<String> engines(int count) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add("runner-" + i);
    }
    return names;
  }

  private static ImmutableList<ModelDeployment> deployments(String version) {
    return ImmutableList.of(
        new ModelDeployment(
            "assistant", "small", version, ImmutableSortedSet.of(), EngineRole.MIXED, 0.75),
        new ModelDeployment(
            "assistant", "large", version, ImmutableSortedSet.of(), EngineRole.MIXED, 0.25));
  }
}

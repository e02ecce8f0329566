package org.cranberrystand.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.EngineRole;
import org.cranberrystand.bundle.ModelDeployment;
import org.cranberrystand.bundle.PoolType;
import org.cranberrystand.bundle.UpstreamPool;
import org.cranberrystand.identity.Incarnation;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against orders based on outdated state and against rollouts that leave too little capacity
 * for urgent work.
 */
public class OrderPlannerTest {
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
  private static final long LOAD_NANOS = 10 * SECOND_NANOS;
  private static final String POOL = "assistant";

  private final Map<String, FakeOrderedEngine> engines = new LinkedHashMap<>();

  @Test
  public void rolloutNeverTakesMoreEnginesThanUrgentWorkAllows() {
    startEngines(20, true);
    List<OrderPlanner> planners = planners("node-a", "node-b", "node-c");
    ImmutableSet<String> live = ImmutableSet.of("node-a", "node-b", "node-c");
    int maxLoading = 0;
    long now = SECOND_NANOS;
    for (int step = 0; step < 400; step++) {
      now += SECOND_NANOS;
      for (OrderPlanner planner : planners) {
        executePlan(planner, input(live, true, 0.5, 1.0, now), now);
      }
      maxLoading = Math.max(maxLoading, loadingCount(now));
    }
    assertEquals(versions(now), ImmutableSet.of("2"));
    assertTrue(maxLoading <= 2, "engines out of service at once: " + maxLoading);
  }

  @Test
  public void saturatedPoolIsNotChanged() {
    startEngines(4, true);
    OrderPlanner planner = planners("node-a").get(0);
    PlanInput input = input(ImmutableSet.of("node-a"), true, 0.8, 1.0, SECOND_NANOS);
    assertEquals(planner.plan(input, SECOND_NANOS), ImmutableList.of());
  }

  @Test
  public void nodeWithUnconfirmedViewSendsNoOrders() {
    startEngines(4, false);
    OrderPlanner planner = planners("node-a").get(0);
    PlanInput input = input(ImmutableSet.of("node-a"), false, 0, 1.0, SECOND_NANOS);
    assertEquals(planner.plan(input, SECOND_NANOS), ImmutableList.of());
  }

  @Test
  public void outdatedEngineStateCausesNoOrders() {
    startEngines(4, false);
    OrderPlanner planner = planners("node-a").get(0);
    PlanInput old = input(ImmutableSet.of("node-a"), true, 0, 1.0, SECOND_NANOS);
    assertEquals(planner.plan(old, 60 * SECOND_NANOS), ImmutableList.of());
  }

  @DataProvider
  public Object[][] fencing() {
    return new Object[][] {{true}, {false}};
  }

  @Test(dataProvider = "fencing")
  public void engineOrderedByTwoNodesEndsAtTheTargetOfTheNewerBundle(boolean checksFencing) {
    startEngines(1, checksFencing);
    // Both nodes read the same state; the fencing number of the second node is higher.
    OrderPlanner stale = new OrderPlanner(new Incarnation("node-a", 1));
    OrderPlanner current = new OrderPlanner(new Incarnation("node-b", 2));
    EngineOrder staleOrder =
        stale
            .plan(
                inputWithModelVersion("1-hotfix", ImmutableSet.of("node-a"), SECOND_NANOS),
                SECOND_NANOS)
            .get(0);
    executePlan(
        current, input(ImmutableSet.of("node-b"), true, 0, 1.0, SECOND_NANOS), SECOND_NANOS);

    OrderResult late = engines.values().iterator().next().receive(staleOrder, 2 * SECOND_NANOS);
    assertEquals(late, checksFencing ? OrderResult.FENCED : OrderResult.ACCEPTED);
    long now = 2 * SECOND_NANOS;
    for (int step = 0; step < 60; step++) {
      now += SECOND_NANOS;
      executePlan(current, input(ImmutableSet.of("node-b"), true, 0, 1.0, now), now);
    }
    assertEquals(versions(now), ImmutableSet.of("2"));
  }

  @Test
  public void rateLimitedWeightStoreCausesBackoff() {
    startEngines(1, true);
    OrderPlanner planner = planners("node-a").get(0);
    ImmutableSet<String> live = ImmutableSet.of("node-a");
    int attempts = 0;
    for (long now = SECOND_NANOS; now < 120 * SECOND_NANOS; now += SECOND_NANOS) {
      for (EngineOrder order : planner.plan(input(live, true, 0, 1.0, now), now)) {
        planner.onResult(order, OrderResult.RATE_LIMITED, now);
        attempts++;
      }
    }
    assertTrue(attempts >= 4 && attempts <= 12, "attempts in two minutes: " + attempts);
  }

  @Test
  public void rolloutHaltsWhenGoodputFallsAndResumesWithAnotherBundle() {
    startEngines(10, true);
    OrderPlanner planner = planners("node-a").get(0);
    ImmutableSet<String> live = ImmutableSet.of("node-a");
    executePlan(planner, input(live, true, 0, 0.99, SECOND_NANOS), SECOND_NANOS);
    long now = SECOND_NANOS;
    for (int step = 0; step < 30; step++) {
      now += SECOND_NANOS;
      executePlan(planner, input(live, true, 0, 0.80, now), now);
    }
    assertEquals(planner.haltedPools(), ImmutableSet.of(POOL));
    assertTrue(versions(now).contains("1"), "all engines were changed before the rollout halted");
    now += SECOND_NANOS;
    assertFalse(planner.plan(inputWithModelVersion("3", live, now), now).isEmpty());
  }

  private List<OrderPlanner> planners(String... nodes) {
    List<OrderPlanner> planners = new ArrayList<>();
    for (String node : nodes) {
      planners.add(new OrderPlanner(new Incarnation(node, node.hashCode())));
    }
    return planners;
  }

  private void startEngines(int count, boolean checksFencing) {
    engines.clear();
    for (int i = 0; i < count; i++) {
      String name = "engine-" + i;
      engines.put(name, new FakeOrderedEngine(name, checksFencing, LOAD_NANOS, "1"));
    }
  }

  private void executePlan(OrderPlanner planner, PlanInput input, long now) {
    for (EngineOrder order : planner.plan(input, now)) {
      planner.onResult(order, engines.get(order.engine()).receive(order, now), now);
    }
  }

  private int loadingCount(long now) {
    return (int) engines.values().stream().filter(e -> e.isLoading(now)).count();
  }

  private ImmutableSet<String> versions(long now) {
    return engines.values().stream()
        .map(e -> e.state(now).version())
        .collect(ImmutableSet.toImmutableSet());
  }

  private PlanInput input(
      ImmutableSet<String> live, boolean confirmed, double urgent, double goodput, long now) {
    return build(2, "2", live, confirmed, urgent, goodput, now);
  }

  private PlanInput inputWithModelVersion(String version, ImmutableSet<String> live, long now) {
    return build(version.equals("3") ? 3 : 1, version, live, true, 0, 1.0, now);
  }

  private PlanInput build(
      long bundleVersion,
      String modelVersion,
      ImmutableSet<String> live,
      boolean confirmed,
      double urgent,
      double goodput,
      long now) {
    Bundle bundle =
        Bundle.builder(bundleVersion)
            .addPool(new UpstreamPool(POOL, PoolType.MODEL, POOL, true, ImmutableSet.of()))
            .addDeployment(
                new ModelDeployment(
                    POOL, POOL, modelVersion, ImmutableSortedSet.of(), EngineRole.MIXED, 1))
            .build();
    ImmutableMap.Builder<String, EngineState> states = ImmutableMap.builder();
    engines.forEach((name, engine) -> states.put(name, engine.state(now)));
    return new PlanInput(
        bundle,
        live,
        confirmed,
        UpstreamDirectory.of(
            engines.keySet().stream()
                .map(name -> new UpstreamRecord(name, POOL, "127.0.0.1:1", "domain-a", false))
                .toList()),
        states.buildOrThrow(),
        ImmutableMap.of(POOL, urgent),
        ImmutableMap.of(POOL, goodput));
  }
}

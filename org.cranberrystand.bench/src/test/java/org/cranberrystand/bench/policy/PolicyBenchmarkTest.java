package org.cranberrystand.bench.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.cranberrystand.bench.policy.Scenario.Times;
import org.cranberrystand.bench.report.Measure;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PolicyBenchmarkTest {
  private static final List<Long> SEEDS = List.of(1L, 2L, 3L);

  private PolicyReport scheduler;
  private PolicyReport baselines;

  private static PolicyReport run(List<NamedPolicy> policies, List<Long> seeds) {
    PolicyBenchmark benchmark = new PolicyBenchmark(Times.COMPACT, seeds);
    return new PolicyReport(benchmark.evaluate(policies), policies.get(0).name());
  }

  @BeforeClass
  public void runBenchmark() {
    scheduler = run(List.of(NamedPolicy.scheduler()), SEEDS);
    baselines = run(NamedPolicy.baselines(), List.of(1L));
  }

  /** Guards against a flood of deferrable requests that lowers the goodput of urgent ones. */
  @Test
  public void urgentGoodputInLowFlood() {
    assertMeets(PolicyMeasure.URGENT_GOODPUT_LOW_FLOOD);
  }

  /** Guards against urgent requests that are rejected while less urgent ones stay queued. */
  @Test
  public void urgentIsNotShedWhileLowerIsKept() {
    assertMeets(PolicyMeasure.URGENT_SHED_WHILE_LOWER_KEPT);
  }

  /** Guards against goodput that falls below the capacity of the engines in an urgent overload. */
  @Test
  public void urgentGoodputInUrgentFlood() {
    assertMeets(PolicyMeasure.URGENT_GOODPUT_URGENT_FLOOD);
  }

  /** Guards against long requests that are dispatched but do not finish. */
  @Test
  public void acceptedLongWorkFinishes() {
    assertMeets(PolicyMeasure.LONG_FINISHED);
  }

  /** Guards against tiers that get less than their guaranteed share in a lasting urgent flood. */
  @Test
  public void otherTiersKeepTheirShare() {
    assertMeets(PolicyMeasure.OTHER_WORK_KEPT);
  }

  /** Guards against small teams that lose goodput when two large teams overload the engines. */
  @Test
  public void smallTeamsKeepTheirGoodput() {
    assertMeets(PolicyMeasure.SMALL_TEAM_GOODPUT);
  }

  /** Guards against backlogged teams whose service is not proportional to their weight. */
  @Test
  public void backloggedTeamsAreServedByWeight() {
    assertMeets(PolicyMeasure.JAIN_INDEX);
  }

  /** Guards against more recomputed prompt tokens than a router with exact knowledge causes. */
  @Test
  public void prefillIsComputedOnce() {
    assertMeets(PolicyMeasure.WASTED_PREFILL);
  }

  /** Guards against placement that ignores cached prefixes. */
  @Test
  public void prefillIsReusedMoreThanByLoad() {
    assertMeets(PolicyMeasure.WASTED_PREFILL_VS_LEAST_LOAD);
  }

  /** Guards against requests that are still sent to an engine after it became slow. */
  @Test
  public void workLeavesSlowEngine() {
    assertMeets(PolicyMeasure.SLOW_ENGINE_SHIFT_S);
  }

  /** Guards against first tokens that stay slow after a flood has ended. */
  @Test
  public void urgentRecoversAfterFlood() {
    assertMeets(PolicyMeasure.RECOVERY_S);
  }

  /** Guards against nodes that together exceed the window of an engine. */
  @Test
  public void nodesTogetherRespectWindow() {
    assertMeets(PolicyMeasure.ENGINE_OVERCOMMIT);
  }

  /** Guards against slow first tokens at the planned load. */
  @Test
  public void firstTokenAtPlannedLoad() {
    assertMeets(PolicyMeasure.FIRST_TOKEN_P95_S);
  }

  /** Guards against long gaps between tokens at the planned load. */
  @Test
  public void tokenGapAtPlannedLoad() {
    assertMeets(PolicyMeasure.TOKEN_GAP_P95_MS);
  }

  private void assertMeets(PolicyMeasure measure) {
    Measure found = scheduler.measure("scheduler", measure);
    assertTrue(found.pass(), found.toString());
  }

  @DataProvider
  public Object[][] missedByBaselines() {
    return new Object[][] {
      {"round-robin", PolicyMeasure.URGENT_GOODPUT_LOW_FLOOD},
      {"round-robin", PolicyMeasure.URGENT_SHED_WHILE_LOWER_KEPT},
      {"round-robin", PolicyMeasure.URGENT_GOODPUT_URGENT_FLOOD},
      {"round-robin", PolicyMeasure.SMALL_TEAM_GOODPUT},
      {"round-robin", PolicyMeasure.JAIN_INDEX},
      {"round-robin", PolicyMeasure.ENGINE_OVERCOMMIT},
      {"round-robin", PolicyMeasure.RECOVERY_S},
      {"round-robin", PolicyMeasure.WASTED_PREFILL},
      {"round-robin", PolicyMeasure.FIRST_TOKEN_P95_S},
      {"least-reported-load", PolicyMeasure.WASTED_PREFILL_VS_LEAST_LOAD},
      {"strict-priority", PolicyMeasure.OTHER_WORK_KEPT},
    };
  }

  /** Guards against scenarios and bounds that a baseline policy can meet. */
  @Test(dataProvider = "missedByBaselines")
  public void baselineMissesBound(String policy, PolicyMeasure measure) {
    Measure found = baselines.measure(policy, measure);
    assertFalse(found.pass(), found.toString());
  }

  /** Guards against reports that differ with equal seeds or are equal with different seeds. */
  @Test
  public void equalSeedsGiveEqualBytes() {
    List<NamedPolicy> policy = List.of(NamedPolicy.baselines().get(0));
    byte[] first = run(policy, List.of(7L)).toJson();
    byte[] second = run(policy, List.of(7L)).toJson();
    byte[] other = run(policy, List.of(8L)).toJson();
    assertEquals(first, second);
    assertNotEquals(first, other);
    assertEquals(run(List.of(NamedPolicy.scheduler()), SEEDS).toJson(), scheduler.toJson());
  }

  /** Guards against a measure that counts cancelled long requests as finished. */
  @Test
  public void cancelledLongWorkIsDetected() {
    PolicyFactory cancelling = simulation -> new CancellingPolicy(new RoundRobinPolicy());
    Evaluation evaluation = Evaluation.evaluate(Workloads.gendang(), Times.COMPACT, 1, cancelling);
    assertTrue(evaluation.values().get(PolicyMeasure.LONG_FINISHED) < 1);
  }

  /** Guards against a measure that is missing in the report. */
  @Test
  public void everyMeasureIsReported() {
    Set<String> names =
        EnumSet.allOf(PolicyMeasure.class).stream()
            .map(PolicyMeasure::label)
            .collect(Collectors.toSet());
    assertEquals(
        scheduler.measures().stream().map(Measure::name).collect(Collectors.toSet()), names);
  }
}

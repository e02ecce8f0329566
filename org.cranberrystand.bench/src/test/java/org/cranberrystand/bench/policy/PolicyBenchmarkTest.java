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

  /** Guards against a flood of deferrable work that costs urgent answers. */
  @Test
  public void urgentGoodputInLowFlood() {
    assertMeets(PolicyMeasure.URGENT_GOODPUT_LOW_FLOOD);
  }

  /** Guards against urgent work that is shed while less urgent work stays queued. */
  @Test
  public void urgentIsNotShedWhileLowerIsKept() {
    assertMeets(PolicyMeasure.URGENT_SHED_WHILE_LOWER_KEPT);
  }

  /** Guards against engines that finish less in an overload than they could. */
  @Test
  public void urgentGoodputInUrgentFlood() {
    assertMeets(PolicyMeasure.URGENT_GOODPUT_URGENT_FLOOD);
  }

  /** Guards against accepted long work that does not finish. */
  @Test
  public void acceptedLongWorkFinishes() {
    assertMeets(PolicyMeasure.LONG_FINISHED);
  }

  /** Guards against tiers that starve in a lasting urgent flood. */
  @Test
  public void otherTiersKeepTheirShare() {
    assertMeets(PolicyMeasure.OTHER_WORK_KEPT);
  }

  /** Guards against small teams that suffer from two flooding ones. */
  @Test
  public void smallTeamsKeepTheirGoodput() {
    assertMeets(PolicyMeasure.SMALL_TEAM_GOODPUT);
  }

  /** Guards against backlogged teams that are not served by weight. */
  @Test
  public void backloggedTeamsAreServedByWeight() {
    assertMeets(PolicyMeasure.JAIN_INDEX);
  }

  /** Guards against prompts computed more often than an all-seeing router would. */
  @Test
  public void prefillIsComputedOnce() {
    assertMeets(PolicyMeasure.WASTED_PREFILL);
  }

  /** Guards against placement that ignores cached prefixes. */
  @Test
  public void prefillIsReusedMoreThanByLoad() {
    assertMeets(PolicyMeasure.WASTED_PREFILL_VS_LEAST_LOAD);
  }

  /** Guards against work that keeps going to an engine that became slow. */
  @Test
  public void workLeavesSlowEngine() {
    assertMeets(PolicyMeasure.SLOW_ENGINE_SHIFT_S);
  }

  /** Guards against an overload that lasts after its cause is gone. */
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

  /** Guards against slow tokens at the planned load. */
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

  /** Guards against a harness that lets a bad policy pass. */
  @Test(dataProvider = "missedByBaselines")
  public void baselineMissesBound(String policy, PolicyMeasure measure) {
    Measure found = baselines.measure(policy, measure);
    assertFalse(found.pass(), found.toString());
  }

  /** Guards against results that depend on anything but the seed. */
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

  /** Guards against a policy that cancels accepted long work. */
  @Test
  public void cancelledLongWorkIsDetected() {
    PolicyFactory cancelling = simulation -> new CancellingPolicy(new RoundRobinPolicy());
    Evaluation evaluation = Evaluation.of(Workloads.gendang(), Times.COMPACT, 1, cancelling);
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

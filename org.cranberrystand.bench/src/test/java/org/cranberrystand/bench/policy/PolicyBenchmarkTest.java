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

  @DataProvider
  public Object[][] measures() {
    return EnumSet.allOf(PolicyMeasure.class).stream()
        .map(measure -> new Object[] {measure})
        .toArray(Object[][]::new);
  }

  /** Guards against a policy that falls below a target of the design. */
  @Test(dataProvider = "measures")
  public void schedulerMeetsBound(PolicyMeasure measure) {
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

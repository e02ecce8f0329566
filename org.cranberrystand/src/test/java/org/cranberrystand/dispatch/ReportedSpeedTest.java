package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Placement at upstreams that report how long work currently takes. */
public final class ReportedSpeedTest {
  private static final long MILLI = 1_000_000L;
  private static final int NODES = 400;
  private static final int UPSTREAMS = 20;
  private static final int USUAL = 100;

  private static RegisteredUpstream upstream(int index, String domain) {
    return new RegisteredUpstream("u" + index, "llm", "10.0.0.1:80", domain, "v1", 6, 1, 0, false);
  }

  private static List<RegisteredUpstream> upstreams() {
    List<RegisteredUpstream> result = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      result.add(upstream(i, i % 2 == 0 ? "east" : "west"));
    }
    return result;
  }

  private static CallSpec call(long key, long now) {
    return CallSpec.builder(key, "llm")
        .streaming(true)
        .size(500, 20)
        .times(now, now + 400 * MILLI, now + 15_000 * MILLI)
        .build();
  }

  /** Returns how many of many nodes, all with the same view, choose each upstream. */
  private static Map<String, Integer> choices(
      ToIntFunction<Integer> percent, long ageNanos, String ownDomain) {
    Map<String, Integer> counts = new HashMap<>();
    long now = 60_000 * MILLI;
    for (int node = 0; node < NODES; node++) {
      RecordedDecisions decisions = new RecordedDecisions();
      CallDispatcher dispatcher = new CallDispatcher(decisions, node);
      List<RegisteredUpstream> upstreams = upstreams();
      dispatcher.upstreamsChanged(upstreams, 0);
      dispatcher.ownDomainChanged(ownDomain);
      for (int i = 0; i < UPSTREAMS; i++) {
        ReportedSpeed speed = ReportedSpeed.ofPercent(Integer.toString(percent.applyAsInt(i)));
        dispatcher.speedReported(upstreams.get(i), speed, now - ageNanos);
      }
      dispatcher.submit(call(1, now), null, now);
      counts.merge(decisions.sent.get(0).upstream(), 1, Integer::sum);
    }
    return counts;
  }

  private static int sum(Map<String, Integer> counts, int from, int to) {
    int total = 0;
    for (int i = from; i < to; i++) {
      total += counts.getOrDefault("u" + i, 0);
    }
    return total;
  }

  private static int max(Map<String, Integer> counts) {
    return counts.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
  }

  /** Guards against requests to an upstream that just said that it is slow. */
  @Test
  public void slowUpstreamsAreAvoided() {
    Map<String, Integer> counts = choices(i -> i < 3 ? 250 : USUAL, 0, "");

    assertEquals(sum(counts, 0, 3), 0);
    assertTrue(max(counts) < 3 * NODES / (UPSTREAMS - 3), counts.toString());
  }

  /** Guards against nodes that all choose the upstream with the best of several near values. */
  @Test
  public void nodesWithTheSameViewSpreadDespiteSmallDifferences() {
    Map<String, Integer> counts = choices(i -> 85 + i, 0, "");

    assertEquals(counts.size(), UPSTREAMS);
    assertTrue(max(counts) < 3 * NODES / UPSTREAMS, counts.toString());
  }

  /** Guards against nodes that all choose the one upstream that is not slow. */
  @Test
  public void nodesWithTheSameViewSpreadWhenNearlyAllAreSlow() {
    Map<String, Integer> counts = choices(i -> i == 0 ? USUAL : 250 + i, 0, "");

    assertTrue(counts.get("u0") < NODES / 2, counts.toString());
    assertTrue(counts.get("u0") > NODES / UPSTREAMS, counts.toString());
  }

  /** Guards against avoiding an upstream because it was slow some time ago. */
  @Test
  public void staleSpeedHasNoEffect() {
    Map<String, Integer> stale =
        choices(i -> i < 3 ? 250 : USUAL, 10 * SlowdownEstimate.HALF_LIFE_NANOS, "");

    assertEquals(stale, choices(i -> USUAL, 0, ""));
    assertTrue(sum(stale, 0, 3) > 0, stale.toString());
  }

  /** Guards against a value that counts fully until it counts no more. */
  @Test
  public void slowdownHalvesWithinItsHalfLife() {
    SlowdownEstimate estimate = new SlowdownEstimate();
    estimate.report(3, 0);

    assertEquals(estimate.factor(0), 3.0);
    assertEquals(estimate.factor(SlowdownEstimate.HALF_LIFE_NANOS), 2.0, 1e-9);
    assertEquals(estimate.factor(2 * SlowdownEstimate.HALF_LIFE_NANOS), 1.5, 1e-9);
    assertEquals(estimate.factor(20 * SlowdownEstimate.HALF_LIFE_NANOS), 1.0);
  }

  @DataProvider
  public Object[][] invalidValues() {
    return new Object[][] {
      {""}, {"x"}, {"-250"}, {"0"}, {"9"}, {"10001"}, {"2.5"}, {"NaN"}, {"99999999999"}
    };
  }

  /** Guards against implausible values that take upstreams out of service. */
  @Test(dataProvider = "invalidValues")
  public void invalidSpeedHasNoEffect(String stated) {
    ReportedSpeed speed = ReportedSpeed.ofPercent(stated);
    assertFalse(speed.isValid());
    RecordedDecisions decisions = new RecordedDecisions();
    CallDispatcher dispatcher = new CallDispatcher(decisions, 1);
    List<RegisteredUpstream> two = List.of(upstream(0, "east"), upstream(1, "east"));
    dispatcher.upstreamsChanged(two, 0);
    dispatcher.speedReported(two.get(0), ReportedSpeed.ofPercent("250"), 0);
    dispatcher.speedReported(two.get(0), speed, 0);
    dispatcher.submit(call(1, 0), null, 0);

    assertEquals(decisions.sent.get(0).upstream(), "u1");
  }

  /** Guards against counting a slowdown twice: as reported and in the learned speed. */
  @Test
  public void learnedSpeedIsThatWithoutTheSlowdown() {
    UpstreamState state = new UpstreamState(upstream(0, "east"), 0);
    state.speedReported(ReportedSpeed.ofPercent("400"), 0);
    for (int i = 0; i < 50; i++) {
      state.answered(400 * MILLI, 0);
    }

    assertEquals(state.serviceNanos(), 100.0 * MILLI, MILLI);
  }

  /** Guards against traffic between failure domains while an upstream nearby is as good. */
  @Test
  public void ownDomainIsPreferredAmongEqualCosts() {
    Map<String, Integer> counts = choices(i -> USUAL, 0, "west");

    assertTrue(counts.keySet().stream().allMatch(id -> id.matches("u\\d?[13579]")), "" + counts);
    assertEquals(counts.size(), UPSTREAMS / 2);
  }

  /** Guards against waiting for a slow upstream because it is nearby. */
  @Test
  public void ownDomainIsLeftWhenItIsSlow() {
    Map<String, Integer> counts = choices(i -> i % 2 == 1 ? 250 : USUAL, 0, "west");

    assertTrue(counts.keySet().stream().allMatch(id -> id.matches("u\\d?[02468]")), "" + counts);
  }

  /** Guards against a domain name that no upstream has and that leaves nothing to choose from. */
  @Test
  public void unknownOwnDomainHasNoEffect() {
    assertEquals(choices(i -> USUAL, 0, "north"), choices(i -> USUAL, 0, ""));
  }
}

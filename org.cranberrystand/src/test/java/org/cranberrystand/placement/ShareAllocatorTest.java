package org.cranberrystand.placement;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Tests of {@link ShareAllocator}. */
public class ShareAllocatorTest {
  private static final double BOUND = 1.25;
  private static final long STEP_NANOS = 250_000_000;
  private static final int STEPS = 120;
  private static final int STEPS_PER_SECOND = 4;

  /** Guards against shares of all nodes that add up to more than 1.25 engines. */
  @Test
  public void sumOfSharesStaysBoundedWithStaleViewsAndOneLostNode() {
    double worst = 0;
    for (int seed = 0; seed < 120; seed++) {
      worst = Math.max(worst, worstSum(seed));
    }
    assertTrue(worst <= BOUND, "worst sum of shares: " + worst);
    assertTrue(worst > 1.02, "demand did not vary enough to exercise the bound: " + worst);
  }

  private static double worstSum(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int count = 4 + random.nextInt(28);
    List<ShareAllocator> allocators = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      allocators.add(new ShareAllocator("node-" + i));
    }
    List<double[]> history = new ArrayList<>();
    double[] demand = new double[count];
    int[][] lastSeenSteps = new int[count][count];
    int lossStep = STEPS / 2 + random.nextInt(STEPS / 4);
    double worst = 0;
    for (int step = 0; step < STEPS; step++) {
      for (int i = 0; i < count; i++) {
        boolean jump = step == 0 || random.nextDouble() < 0.05;
        demand[i] = jump ? 10_000 * Math.pow(random.nextDouble(), 4) : demand[i];
      }
      history.add(demand.clone());
      double sum = 0;
      for (int i = 0; i < count; i++) {
        if (i > 0 || step < lossStep) {
          observe(allocators.get(i), i, step, lossStep, history, lastSeenSteps[i], random);
          sum += allocators.get(i).share();
        }
      }
      // Requests of the lost node keep running on the engines for a while.
      sum += step >= lossStep && step < lossStep + 1 ? allocators.get(0).share() : 0;
      worst = Math.max(worst, sum);
    }
    return worst;
  }

  private static void observe(
      ShareAllocator allocator,
      int self,
      int step,
      int lossStep,
      List<double[]> history,
      int[] lastSeenSteps,
      SplittableRandom random) {
    Map<String, Double> view = new HashMap<>();
    for (int j = 0; j < history.get(0).length; j++) {
      int age = j == self ? 0 : random.nextInt(STEPS_PER_SECOND + 1);
      // Load summaries carry sequence numbers, so a view never returns to an older one.
      lastSeenSteps[j] = Math.max(lastSeenSteps[j], step - age);
      if (j > 0 || lastSeenSteps[j] < lossStep) {
        view.put("node-" + j, history.get(lastSeenSteps[j])[j]);
      }
    }
    allocator.observe(view, step * STEP_NANOS);
  }

  /** Guards against an overloaded node that takes the shares of all others. */
  @Test
  public void oneOverloadedNodeLeavesTheOthersAShare() {
    ShareAllocator allocator = new ShareAllocator("node-1");
    for (int step = 0; step < 400; step++) {
      Map<String, Double> view = new HashMap<>();
      view.put("node-0", 1_000_000.0);
      for (int j = 1; j < 8; j++) {
        view.put("node-" + j, 1_000.0);
      }
      allocator.observe(view, step * STEP_NANOS);
    }
    assertTrue(allocator.share() > 0.03, "share: " + allocator.share());
  }

  /** Guards against a share that stays near zero when a node discovers its peers late. */
  @Test
  public void nodeThatJoinsPeersLateGetsItsShareWithin15Seconds() {
    ShareAllocator allocator = new ShareAllocator("node-0");
    allocator.observe(Map.of("node-0", 0.0), 0);
    Map<String, Double> view = new HashMap<>();
    for (int j = 0; j < 8; j++) {
      view.put("node-" + j, 20_000.0);
    }
    for (int step = 4; step < 64; step++) {
      allocator.observe(view, step * STEP_NANOS);
    }
    assertTrue(allocator.share() > 0.08, "share: " + allocator.share());
  }
}

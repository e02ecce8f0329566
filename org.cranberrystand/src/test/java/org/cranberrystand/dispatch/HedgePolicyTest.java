package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public final class HedgePolicyTest {
  private static final String POOL = "app";
  private static final long MILLI = 1_000_000L;
  private static final long INTERVAL_NANOS = 10 * MILLI;
  private static final double SHARE = 0.05;

  /** Sends requests at 100 per second and returns how many of them were hedged. */
  private static int run(HedgePolicy policy, int requests, long responseMillis, long startNanos) {
    int hedged = 0;
    for (int i = 0; i < requests; i++) {
      long now = startNanos + i * INTERVAL_NANOS;
      policy.requestSent(POOL, now);
      long delayNanos = policy.delayNanos(POOL, now);
      long responseNanos = responseMillis * MILLI;
      if (delayNanos < responseNanos && policy.mayHedge(POOL, true, now)) {
        policy.hedgeSent(POOL, now);
        hedged++;
      }
      policy.responded(POOL, responseNanos, now);
    }
    return hedged;
  }

  /** Guards against hedging by a node that has just started and knows no response times. */
  @Test
  public void noHedgeBeforeEnoughSamples() {
    HedgePolicy policy = new HedgePolicy(SHARE);
    run(policy, 99, 20, 0);
    assertEquals(policy.delayNanos(POOL, 0), HedgePolicy.NEVER);

    run(policy, 1, 20, 0);
    assertEquals(policy.delayNanos(POOL, 0) / (double) MILLI, 20, 0.5);
  }

  /** Guards against a delay near the median, which would hedge ordinary responses. */
  @Test
  public void delayIsTheHighPercentile() {
    HedgePolicy policy = new HedgePolicy(SHARE);
    for (int i = 1; i <= 200; i++) {
      policy.responded(POOL, i * MILLI, 0);
    }

    assertEquals(policy.delayNanos(POOL, 0) / (double) MILLI, 190, 3);
  }

  /** Guards against hedges that multiply when all responses of a pool become slow. */
  @Test
  public void hedgesDieOutInASlowPool() {
    HedgePolicy policy = new HedgePolicy(SHARE);
    run(policy, 1_000, 20, 0);

    int early = run(policy, 3_000, 900, 10_000 * MILLI);
    int late = run(policy, 3_000, 900, 40_000 * MILLI);

    assertTrue(early > 0 && early <= 3_000 * SHARE + 1, "early=" + early);
    assertEquals(late, 0);
  }

  /** Guards against a share that is exceeded within the window, and one that is never regained. */
  @Test
  public void shareIsKeptOverTheWindow() {
    HedgePolicy policy = new HedgePolicy(SHARE);
    for (int i = 0; i < 100; i++) {
      policy.requestSent(POOL, 0);
    }
    for (int i = 0; i < 5; i++) {
      assertTrue(policy.mayHedge(POOL, true, 0));
      policy.hedgeSent(POOL, 0);
    }

    assertFalse(policy.mayHedge(POOL, true, 0));
    assertEquals(policy.shareUsed(POOL, 0), SHARE, 1e-9);

    long later = TimeUnit.SECONDS.toNanos(31);
    assertFalse(policy.mayHedge(POOL, true, later), "requests outside the window count");
    for (int i = 0; i < 20; i++) {
      policy.requestSent(POOL, later);
    }
    assertTrue(policy.mayHedge(POOL, true, later));
  }

  /** Guards against hedges of a node that does not know which slots other nodes use. */
  @Test
  public void noHedgeWithoutAViewOfTheFleet() {
    HedgePolicy policy = new HedgePolicy(SHARE);
    run(policy, 1_000, 20, 0);

    assertTrue(policy.mayHedge(POOL, true, 0));
    assertFalse(policy.mayHedge(POOL, false, 0));
  }

  /** Guards against response times of long ago that still determine the delay. */
  @Test
  public void oldSamplesAreForgotten() {
    HedgePolicy policy = new HedgePolicy(SHARE);
    run(policy, 1_000, 20, 0);

    assertEquals(policy.delayNanos(POOL, TimeUnit.SECONDS.toNanos(200)), HedgePolicy.NEVER);
  }

  /** Guards against work and hedges although operators did not ask for any. */
  @Test
  public void shareOfZeroHedgesNothing() {
    HedgePolicy policy = new HedgePolicy(0);

    assertEquals(run(policy, 1_000, 20, 0), 0);
    assertEquals(policy.delayNanos(POOL, 0), HedgePolicy.NEVER);
  }
}

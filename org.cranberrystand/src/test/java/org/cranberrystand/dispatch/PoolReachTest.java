package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public final class PoolReachTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int POOL_SIZE = 13;

  private final PoolReach reach = new PoolReach();

  /** Guards against giving up on a pool of which some upstreams are down. */
  @Test
  public void failuresBetweenSuccessesDoNotMakeAPoolUnreachable() {
    for (int i = 0; i < 20; i++) {
      reach.connectFailed("down" + i % 3, POOL_SIZE, i * MILLI);
    }
    assertFalse(reach.isUnreachable());

    reach.connectFailed("down3", POOL_SIZE, 20 * MILLI);
    assertTrue(reach.isUnreachable());
    assertTrue(reach.connected());
    assertFalse(reach.isUnreachable());
  }

  /** Guards against a small pool that never counts as unreachable. */
  @Test
  public void allUpstreamsOfASmallPoolAreEnough() {
    PoolReach small = new PoolReach();
    small.connectFailed("a", 2, 0);
    assertFalse(small.isUnreachable());
    small.connectFailed("b", 2, MILLI);
    assertTrue(small.isUnreachable());
  }

  /** Guards against a node that notices a partition only when it needs new connections. */
  @Test
  public void silenceOfAllUpstreamsIsProbedOnceASecond() {
    PoolReach silent = new PoolReach();
    assertEquals(silent.takeProbes(500 * MILLI, 500 * MILLI), 0);
    assertTrue(silent.takeProbes(600 * MILLI, 600 * MILLI) > 0);
    assertEquals(silent.takeProbes(700 * MILLI, 700 * MILLI), 0);
    assertTrue(silent.takeProbes(1_700 * MILLI, 1_700 * MILLI) > 0);
  }
}

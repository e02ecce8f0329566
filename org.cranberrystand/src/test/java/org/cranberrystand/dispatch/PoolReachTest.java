package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PoolReachTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int POOL_SIZE = 13;

  private PoolReach reach;

  @BeforeMethod
  public void startWithoutFailures() {
    reach = new PoolReach();
  }

  private void failConnects(String... upstreams) {
    for (String upstream : upstreams) {
      reach.connectFailed(upstream, POOL_SIZE, MILLI);
    }
  }

  /** Guards against giving up on a pool of which some upstreams are down. */
  @Test
  public void failuresOfSomeUpstreamsDoNotMakeAPoolUnreachable() {
    for (int i = 0; i < 20; i++) {
      failConnects("down" + i % 6);
    }
    assertFalse(reach.isUnreachable());

    assertTrue(reach.takeProbes(0, MILLI) > 0);
    reach.probing(Set.of("up1", "up2", "up3", "down6"));
    failConnects("down6", "down7");
    assertFalse(reach.connected());
    failConnects("down0", "down1", "down2", "down3");
    assertFalse(reach.isUnreachable());
  }

  /** Guards against a node that never finds out that it lost its links to a pool. */
  @Test
  public void failedProbesMakeAPoolUnreachable() {
    failConnects("a", "b");
    assertTrue(reach.takeProbes(0, MILLI) > 0);
    reach.probing(Set.of("c", "d", "e", "f"));
    failConnects("c", "d", "e");
    assertFalse(reach.isUnreachable());

    failConnects("f");
    assertTrue(reach.isUnreachable());
    assertTrue(reach.connected());
    assertFalse(reach.isUnreachable());
  }

  /** Guards against waiting a second for the next probes although much points to a lost link. */
  @Test
  public void manyFailuresAreProbedSoon() {
    failConnects("a", "b");
    assertTrue(reach.takeProbes(0, 100 * MILLI) > 0);
    assertFalse(reach.connected());
    failConnects("a", "b");
    assertEquals(reach.takeProbes(0, 400 * MILLI), 0);

    failConnects("c", "d");
    assertTrue(reach.takeProbes(0, 400 * MILLI) > 0);
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

package org.cranberrystand.daemon.gateway;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public final class LoopLagTest {
  private static final long MILLI = 1_000_000L;

  /**
   * Guards against a request that lay in the socket of a starved VM and is sent on after its caller
   * has left.
   */
  @Test
  public void timeSinceALateTickCounts() {
    LoopLag lag = new LoopLag(50 * MILLI, 0);

    assertEquals(lag.nanos(60 * MILLI), 0);
    assertEquals(lag.nanos(1_050 * MILLI), 1_000 * MILLI);

    lag.tick(1_050 * MILLI);
    assertEquals(lag.nanos(1_060 * MILLI), 0);
  }
}

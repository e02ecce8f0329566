package org.cranberrystand.audit;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

public final class HybridClockTest {
  private static final int NODES = 5;
  private static final int STEPS = 20_000;

  /** Guards against ordering an effect before its cause when wall clocks differ or are set back. */
  @Test
  public void timestampsRespectCausalOrderWithSkewedAndSteppingWallClocks() {
    for (long seed = 1; seed <= 20; seed++) {
      Random random = new Random(seed);
      long[] wall = random.longs(NODES, 1_000, 2_000).toArray();
      List<HybridClock> clocks = new ArrayList<>();
      List<HybridTimestamp> lastOf = new ArrayList<>();
      for (int i = 0; i < NODES; i++) {
        int node = i;
        clocks.add(new HybridClock(() -> wall[node]));
        lastOf.add(HybridTimestamp.ZERO);
      }
      for (int step = 0; step < STEPS; step++) {
        int node = random.nextInt(NODES);
        wall[node] += random.nextInt(7) - 2;
        int sender = random.nextInt(NODES);
        HybridTimestamp cause = lastOf.get(sender);
        HybridTimestamp now =
            sender == node ? clocks.get(node).tick() : clocks.get(node).receive(cause);
        assertTrue(
            now.compareTo(lastOf.get(node)) > 0,
            "timestamp not after the previous one of the same node, seed " + seed);
        assertTrue(
            now.compareTo(cause) > 0,
            "timestamp not after that of the received message, seed " + seed);
        lastOf.set(node, now);
      }
    }
  }
}

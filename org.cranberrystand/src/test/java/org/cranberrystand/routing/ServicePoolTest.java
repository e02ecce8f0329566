package org.cranberrystand.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class ServicePoolTest {
  private static int idlePerNode(int maxConnections, int nodes) {
    return new ServicePool("app", maxConnections, false, 0, ColdStart.NONE)
        .idleConnectionsPerNode(nodes);
  }

  /** Guards against idle connections of a large fleet that make an upstream reset its requests. */
  @Test
  public void idleConnectionsOfAllNodesLeaveRoomForRequests() {
    assertEquals(idlePerNode(110, 9), 6);
    assertEquals(idlePerNode(600, 90), 3);
    assertTrue(idlePerNode(580, 76) * 76 <= 580 / 2);
  }

  @Test
  public void nodeKeepsAtLeastOneAndAtMostEight() {
    assertEquals(idlePerNode(100, 460), 1);
    assertEquals(idlePerNode(370, 1), 8);
    assertEquals(idlePerNode(0, 90), 8);
  }
}

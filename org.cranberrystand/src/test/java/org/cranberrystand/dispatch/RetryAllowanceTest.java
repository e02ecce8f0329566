package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class RetryAllowanceTest {
  private static int acquire(RetryAllowance<String> allowance, int attempts) {
    int count = 0;
    for (int i = 0; i < attempts; i++) {
      count += allowance.tryAcquire("app") ? 1 : 0;
    }
    return count;
  }

  /** Guards against more retries over all nodes than the ratio and the slack allow. */
  @Test
  public void nodesTogetherStayWithinTheBound() {
    int nodes = 8;
    int requestsPerNode = 100;
    int all = 0;
    for (int node = 0; node < nodes; node++) {
      RetryAllowance<String> allowance = RetryAllowance.ofFleet(0.2, 56);
      allowance.setNodeCount(nodes);
      for (int i = 0; i < requestsPerNode; i++) {
        allowance.requestReceived("app");
        all += acquire(allowance, 5);
      }
    }

    assertTrue(all <= 0.2 * nodes * requestsPerNode + 56, "retries " + all);
    assertTrue(all > 0.1 * nodes * requestsPerNode, "retries " + all);
  }

  @Test
  public void poolsHaveSeparateAllowances() {
    RetryAllowance<String> allowance = RetryAllowance.ofFleet(0.2, 10);
    acquire(allowance, 100);

    assertEquals(allowance.tryAcquire("app"), false);
    assertTrue(allowance.tryAcquire("llm"));
  }
}

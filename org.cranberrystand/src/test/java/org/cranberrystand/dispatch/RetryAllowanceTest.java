package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class RetryAllowanceTest {
  private static int taken(RetryAllowance allowance, int wanted) {
    int count = 0;
    for (int i = 0; i < wanted; i++) {
      count += allowance.take("app") ? 1 : 0;
    }
    return count;
  }

  /** Guards against repeats over all nodes beyond the stated ratio and slack. */
  @Test
  public void nodesTogetherStayWithinTheBound() {
    int nodes = 8;
    int requestsPerNode = 100;
    int all = 0;
    for (int node = 0; node < nodes; node++) {
      RetryAllowance allowance = new RetryAllowance(0.2, 56);
      allowance.setNodes(nodes);
      for (int i = 0; i < requestsPerNode; i++) {
        allowance.received("app");
        all += taken(allowance, 5);
      }
    }

    assertTrue(all <= 0.2 * nodes * requestsPerNode + 56, "repeats " + all);
    assertTrue(all > 0.1 * nodes * requestsPerNode, "repeats " + all);
  }

  @Test
  public void poolsHaveAllowancesOfTheirOwn() {
    RetryAllowance allowance = new RetryAllowance(0.2, 10);
    taken(allowance, 100);

    assertEquals(allowance.take("app"), false);
    assertTrue(allowance.take("llm"));
  }
}

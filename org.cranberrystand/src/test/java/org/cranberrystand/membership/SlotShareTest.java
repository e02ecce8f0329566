package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class SlotShareTest {

  @DataProvider
  public Object[][] fleetsAndSlots() {
    return new Object[][] {{1, 10}, {8, 10}, {8, 6}, {21, 10}, {7, 0}};
  }

  private static List<String> hosts(int count) {
    return IntStream.range(0, count).mapToObj(i -> "10.1.0." + i).toList();
  }

  /** Guards against two nodes that use the same slot, and against slots that no node uses. */
  @Test(dataProvider = "fleetsAndSlots")
  public void eachSlotBelongsToOneNode(int nodes, int slots) {
    List<String> hosts = hosts(nodes);

    int sum = hosts.stream().mapToInt(host -> SlotShare.slots("u", slots, host, hosts)).sum();

    assertEquals(sum, slots);
  }

  /** Guards against a node that gets no slot of a pool while others get many. */
  @Test
  public void slotsOfAPoolAreSpreadOverTheNodes() {
    List<String> hosts = hosts(8);
    for (String host : hosts) {
      int sum = IntStream.range(0, 13).map(i -> SlotShare.slots("u" + i, 10, host, hosts)).sum();
      assertTrue(sum >= 13 && sum <= 26, host + " has " + sum);
    }
  }
}

package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

public final class AddressOfferTest {
  private static final int DRAWS = 20_000;

  private static NodeInfo node(int number, double cores) {
    return new NodeInfo("n" + number, "h" + number, "a" + number, true, cores);
  }

  /** Returns the fraction of the callers that each address gets if callers choose uniformly. */
  private static Map<String, Double> shares(AddressOffer offer) {
    Random random = new Random(1);
    Map<String, Double> shares = new HashMap<>();
    for (int i = 0; i < DRAWS; i++) {
      ImmutableList<String> drawn = offer.draw(random);
      drawn.forEach(a -> shares.merge(a, 1.0 / drawn.size() / DRAWS, Double::sum));
    }
    return shares;
  }

  /**
   * Guards against a small VM that is overloaded because it gets as many callers as a large one.
   */
  @Test
  public void callersAreDistributedByCores() {
    ImmutableList.Builder<NodeInfo> nodes = ImmutableList.builder();
    for (int i = 0; i < 76; i++) {
      nodes.add(node(i, i < 8 ? 1.5 : 0.36));
    }
    Map<String, Double> shares = shares(new AddressOffer(nodes.build()));
    double total = 8 * 1.5 + 68 * 0.36;

    assertEquals(shares.get("a0"), 1.5 / total, 0.1 * 1.5 / total);
    assertEquals(shares.get("a70"), 0.36 / total, 0.1 * 0.36 / total);
  }

  @Test
  public void equalNodesAreAllReturned() {
    ImmutableList.Builder<NodeInfo> nodes = ImmutableList.builder();
    for (int i = 0; i < 12; i++) {
      nodes.add(node(i, 0.75));
    }
    Random random = new Random(1);
    AddressOffer offer = new AddressOffer(nodes.build());
    for (int i = 0; i < 100; i++) {
      assertEquals(offer.draw(random).size(), 12);
    }
  }

  /**
   * Guards against sets that exceed the limit of callers, who would then always ignore the same
   * nodes.
   */
  @Test
  public void largeFleetsAreSampledEvenly() {
    ImmutableList.Builder<NodeInfo> nodes = ImmutableList.builder();
    for (int i = 0; i < 300; i++) {
      nodes.add(node(i, 0.36));
    }
    Map<String, Double> shares = shares(new AddressOffer(nodes.build()));

    assertEquals(shares.size(), 300);
    shares.values().forEach(share -> assertEquals(share, 1.0 / 300, 0.4 / 300));
    assertTrue(new AddressOffer(nodes.build()).draw(new Random(2)).size() <= 64);
  }

  /** Guards against sets with a single address, whose node may have stopped. */
  @Test
  public void oneStrongNodeDoesNotHideTheOthers() {
    ImmutableList.Builder<NodeInfo> nodes = ImmutableList.builder();
    nodes.add(node(0, 100));
    for (int i = 1; i < 20; i++) {
      nodes.add(node(i, 10));
    }
    Random random = new Random(1);
    for (int i = 0; i < 100; i++) {
      assertTrue(new AddressOffer(nodes.build()).draw(random).size() >= 4);
    }
  }
}

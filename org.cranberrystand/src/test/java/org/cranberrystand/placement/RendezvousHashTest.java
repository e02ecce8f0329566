package org.cranberrystand.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests of {@link RendezvousHash}. */
public class RendezvousHashTest {
  private static final int KEYS = 8_000;

  private final ImmutableList<String> nodes =
      IntStream.range(0, 8).mapToObj(i -> "node-" + i).collect(ImmutableList.toImmutableList());

  /** Guards against nodes that disagree because their candidates are in a different order. */
  @Test
  public void orderOfCandidatesDoesNotMatter() {
    for (int key = 0; key < 100; key++) {
      String name = "key-" + key;
      List<String> reversed = Lists.reverse(nodes);
      assertEquals(RendezvousHash.rank(name, reversed), RendezvousHash.rank(name, nodes));
      assertEquals(
          RendezvousHash.pick(name, reversed).orElseThrow(),
          RendezvousHash.top(name, nodes, 1).get(0));
    }
  }

  /** Guards against the loss of a node that moves keys between the remaining nodes. */
  @Test
  public void lostCandidateMovesOnlyItsOwnKeys() {
    List<String> remaining = new ArrayList<>(nodes);
    remaining.remove("node-3");
    for (int key = 0; key < KEYS; key++) {
      String before = RendezvousHash.pick("key-" + key, nodes).orElseThrow();
      String after = RendezvousHash.pick("key-" + key, remaining).orElseThrow();
      assertTrue(before.equals("node-3") || before.equals(after));
    }
  }

  /** Guards against a biased hash that prefers some candidates. */
  @Test
  public void keysAreDistributedEvenly() {
    Multiset<String> chosen = HashMultiset.create();
    for (int key = 0; key < KEYS; key++) {
      chosen.add(RendezvousHash.pick("key-" + key, nodes).orElseThrow());
    }
    int expected = KEYS / nodes.size();
    for (String node : nodes) {
      assertEquals(chosen.count(node), expected, expected * 0.12, node);
    }
  }

  /** Guards against failures on an empty fleet or a count above the number of candidates. */
  @Test
  public void returnsFewerCandidatesThanRequested() {
    assertEquals(RendezvousHash.pick("key", ImmutableList.of()), Optional.empty());
    assertEquals(RendezvousHash.top("key", ImmutableList.of("a"), 2), ImmutableList.of("a"));
  }
}

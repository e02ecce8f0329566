package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class StartingShareTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int NODES = 8;
  private static final int SLOTS = 10;

  private final List<PeerTable> tables = new ArrayList<>();
  private final List<StartingShare> shares = new ArrayList<>();

  @BeforeMethod
  public void startFleet() {
    tables.clear();
    shares.clear();
    for (int i = 0; i < NODES; i++) {
      PeerTable table = new PeerTable(new NodeInfo("n" + i, "host-" + i, "caller-" + i, true, 1));
      table.expectPeers();
      tables.add(table);
      shares.add(new StartingShare(table, 0));
    }
  }

  private static PeerReport report(PeerTable sender) {
    return new PeerReport(
        sender.self().withAcceptsCallers(true),
        1,
        1,
        ReportScope.NODE,
        1,
        1,
        false,
        new PublishedVersion(0, 1),
        false,
        ReportedLoad.NONE,
        SharedObservations.NONE,
        ImmutableList.of());
  }

  /** Returns how many slots of one upstream the nodes use together. */
  private int usableSlots(long nowNanos) {
    return shares.stream()
        .mapToInt(share -> share.slots("e", SLOTS, ImmutableList.of(1.0), nowNanos))
        .sum();
  }

  /** Guards against nodes that start together and fill the same slots before they hear others. */
  @Test
  public void nodesThatStartTogetherDoNotUseTheSameSlots() {
    assertTrue(usableSlots(0) <= SLOTS, "slots: " + usableSlots(0));

    for (PeerTable receiver : tables) {
      tables.forEach(sender -> receiver.receive(report(sender), SECOND));
    }
    assertTrue(usableSlots(SECOND) <= SLOTS, "slots: " + usableSlots(SECOND));
    assertEquals(usableSlots(3 * SECOND), SLOTS);
    assertFalse(shares.get(0).isSettling(6 * SECOND));
  }

  /** Guards against a node that leaves slots unused because it is the only one. */
  @Test
  public void nodeThatHearsNobodyUsesAllSlotsInTheEnd() {
    assertTrue(shares.get(0).isSettling(0));
    assertFalse(shares.get(0).isSettling(3 * SECOND));
  }
}

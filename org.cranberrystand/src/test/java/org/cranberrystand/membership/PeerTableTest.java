package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.cranberrystand.dispatch.UpstreamUsage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PeerTableTest {
  private static final long SECOND = 1_000_000_000L;

  private PeerTable table;

  @BeforeMethod
  public void startWithoutPeers() {
    table = new PeerTable(node("n1"));
  }

  private static KnownNode node(String name) {
    return new KnownNode(name, "host-" + name, "caller-" + name, true, 1);
  }

  private static PeerReport report(KnownNode sender, long incarnation, long sequence, int running) {
    return new PeerReport(
        sender,
        incarnation,
        sequence,
        ReportReach.NODE,
        1,
        1,
        false,
        sequence,
        false,
        new ReportedLoad(
            ImmutableMap.of("e", new UpstreamUsage(running, 10)),
            ImmutableMap.of(),
            ImmutableMap.of(),
            ImmutableMap.of()),
        ImmutableList.of(node("further")));
  }

  private static PeerReport report(String node, long incarnation, long sequence, int running) {
    return report(node(node), incarnation, sequence, running);
  }

  private boolean isCounted(PeerReport report) {
    return table.received(report, 0) == PeerTable.Receipt.COUNTED;
  }

  /** Guards against a part of the quotas that nobody uses after a planned stop. */
  @Test
  public void nodeThatSaidItLeavesIsNotMissed() {
    table.received(report("n2", 1, 1, 0), 0);
    table.received(report(node("n3").withOffered(false), 1, 1, 0), 0);

    assertEquals(table.nodeCount(5 * SECOND), 2);
  }

  @Test
  public void usageIsSummedOverFreshNodes() {
    table.received(report("n2", 1, 1, 2), 0);
    table.received(report("n3", 1, 1, 3), SECOND);

    assertEquals(table.load(SECOND / 2).usage().get("e"), new UpstreamUsage(5, 20));
    assertEquals(table.load(SECOND + SECOND / 2).usage().get("e"), new UpstreamUsage(3, 10));
  }

  /** Guards against a datagram that arrives late and takes the state back. */
  @Test
  public void olderReportOfOneLifeIsIgnored() {
    assertTrue(isCounted(report("n2", 1, 5, 2)));
    assertFalse(isCounted(report("n2", 1, 4, 9)));
    assertTrue(isCounted(report("n2", 2, 1, 1)));
  }

  @Test
  public void nodesAreFoundThroughSeedsAndOtherNodes() {
    table.received(report("n2", 1, 1, 0), 0);

    assertEquals(
        new PeerTargets(table, ImmutableSet.of("10.0.0.9"), 1).mateHosts(),
        ImmutableSet.of("10.0.0.9", "host-n2", "host-further"));
  }

  /** Guards against a node behind a partition that offers callers only itself. */
  @Test
  public void nodeThatHearsNobodyKeepsOfferingTheOthers() {
    table.received(report("n2", 1, 1, 0), 0);
    table.received(report("n3", 1, 1, 0), 0);

    assertEquals(table.offered(5 * SECOND).size(), 2);
    table.received(report("n3", 1, 2, 0), 5 * SECOND);
    assertEquals(table.offered(5 * SECOND).size(), 1);
  }

  @Test
  public void silentNodesReduceTheVisiblePart() {
    table.received(report("n2", 1, 1, 0), 0);
    table.received(report("n3", 1, 1, 0), 0);

    assertEquals(table.visibleFraction(0), 1.0);
    assertEquals(table.visibleFraction(5 * SECOND), 1.0 / 3);
    assertEquals(table.visibleFraction(20 * SECOND), 1.0);
  }
}

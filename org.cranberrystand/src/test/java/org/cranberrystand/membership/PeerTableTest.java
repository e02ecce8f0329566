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

  private static NodeInfo node(String name) {
    return new NodeInfo(name, "host-" + name, "caller-" + name, true, 1);
  }

  private static PeerReport report(NodeInfo sender, long incarnation, long sequence, int running) {
    return new PeerReport(
        sender,
        incarnation,
        sequence,
        ReportScope.NODE,
        1,
        1,
        false,
        new PublishedVersion(0, sequence),
        false,
        new ReportedLoad(
            ImmutableMap.of("e", new UpstreamUsage(running, 10)),
            ImmutableMap.of(),
            ImmutableMap.of()),
        SharedObservations.NONE,
        ImmutableList.of(node("further")));
  }

  private static PeerReport report(String node, long incarnation, long sequence, int running) {
    return report(node(node), incarnation, sequence, running);
  }

  private boolean isApplied(PeerReport report) {
    return table.receive(report, 0) == PeerTable.ReceiveResult.APPLIED;
  }

  /** Guards against quota that stays reserved for a node after its planned stop. */
  @Test
  public void nodeThatReportedStoppingIsNotCounted() {
    table.receive(report("n2", 1, 1, 0), 0);
    table.receive(report(node("n3").withAcceptsCallers(false), 1, 1, 0), 0);

    assertEquals(table.nodeCount(5 * SECOND), 2);
  }

  @Test
  public void usageIsSummedOverFreshNodes() {
    table.receive(report("n2", 1, 1, 2), 0);
    table.receive(report("n3", 1, 1, 3), SECOND);

    assertEquals(table.peerLoad(SECOND / 2).usage().get("e"), new UpstreamUsage(5, 20));
    assertEquals(table.peerLoad(SECOND + SECOND / 2).usage().get("e"), new UpstreamUsage(3, 10));
  }

  /** Guards against a delayed datagram that replaces a newer state. */
  @Test
  public void olderReportOfOneIncarnationIsIgnored() {
    assertTrue(isApplied(report("n2", 1, 5, 2)));
    assertFalse(isApplied(report("n2", 1, 4, 9)));
    assertTrue(isApplied(report("n2", 2, 1, 1)));
  }

  @Test
  public void nodesAreDiscoveredThroughSeedsAndOtherNodes() {
    table.receive(report("n2", 1, 1, 0), 0);

    assertEquals(
        new PeerTargets(table, ImmutableSet.of("10.0.0.9"), 1).ownCellHosts(),
        ImmutableSet.of("10.0.0.9", "host-n2", "host-further"));
  }

  /** Guards against a partitioned node that returns only its own address to callers. */
  @Test
  public void isolatedNodeKeepsReturningTheOthersToCallers() {
    table.receive(report("n2", 1, 1, 0), 0);
    table.receive(report("n3", 1, 1, 0), 0);

    assertEquals(table.nodesAcceptingCallers(5 * SECOND).size(), 2);
    table.receive(report("n3", 1, 2, 0), 5 * SECOND);
    assertEquals(table.nodesAcceptingCallers(5 * SECOND).size(), 1);
  }

  @Test
  public void silentNodesReduceTheVisibleFraction() {
    table.receive(report("n2", 1, 1, 0), 0);
    table.receive(report("n3", 1, 1, 0), 0);

    assertEquals(table.visibleFraction(0), 1.0);
    assertEquals(table.visibleFraction(5 * SECOND), 1.0 / 3);
    assertEquals(table.visibleFraction(20 * SECOND), 1.0);
  }
}

package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.cranberrystand.util.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link MembershipTable}. */
public class MembershipTableTest {
  private static final Duration SUSPICION = Duration.ofSeconds(10);
  private static final Duration RETENTION = Duration.ofMinutes(5);

  private final ManualClock clock = new ManualClock(1);

  private static MemberRecord record(String node, String incarnation, long sequence) {
    return new MemberRecord(
        node, incarnation, "c", "p", "domain-a", MemberState.ALIVE, sequence, 0, 0);
  }

  private MembershipTable table(String node) {
    return new MembershipTable(record(node, "1", 100), clock, MembershipTable.Timing.defaults());
  }

  @DataProvider
  Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
  }

  /** Guards against tables that diverge permanently after lost and reordered messages. */
  @Test(dataProvider = "seeds")
  public void randomOrdersAndLossesConverge(long seed) {
    Random random = new Random(seed);
    List<MembershipTable> tables = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      tables.add(table("node-" + i));
    }
    Deque<List<MemberRecord>> inTransit = new ArrayDeque<>();
    for (int step = 0; step < 2_000; step++) {
      MembershipTable from = tables.get(random.nextInt(tables.size()));
      MembershipTable to = tables.get(random.nextInt(tables.size()));
      inTransit.add(from.changedSince(0));
      if (random.nextInt(3) == 0) {
        inTransit.poll();
      }
      if (random.nextBoolean() && !inTransit.isEmpty()) {
        inTransit.add(inTransit.poll());
      }
      if (inTransit.size() > 3) {
        inTransit.poll().forEach(to::merge);
      }
      if (random.nextInt(20) == 0) {
        from.reportUnreachable("node-" + random.nextInt(tables.size()));
      }
      if (random.nextInt(50) == 0) {
        from.setSelfState(MemberState.LEAVING);
        from.setSelfState(MemberState.ALIVE);
      }
    }
    for (int round = 0; round < 3; round++) {
      for (MembershipTable from : tables) {
        tables.forEach(to -> from.changedSince(0).forEach(to::merge));
      }
    }
    for (MembershipTable t : tables) {
      assertEquals(t.summaryHash(), tables.get(0).summaryHash());
      assertEquals(t.view().all().size(), 11);
      assertTrue(t.view().all().stream().allMatch(r -> r.state() == MemberState.ALIVE));
    }
  }

  /** Guards against a delayed message that restores an earlier incarnation or state. */
  @Test
  public void olderRecordNeverOverridesNewer() {
    MembershipTable table = table("node-0");
    MemberRecord restarted = record("node-1", "0a", 300);
    table.merge(restarted);
    assertFalse(table.merge(record("node-1", "ff", 299)));
    table.merge(restarted.withState(MemberState.LEAVING, 301));
    assertFalse(table.merge(restarted));
    assertFalse(table.merge(restarted.withState(MemberState.SUSPECT, 301)));
    assertEquals(table.find("node-1").orElseThrow().state(), MemberState.LEAVING);
    assertEquals(table.find("node-1").orElseThrow().incarnation(), "0a");
  }

  /** Guards against a paused or partitioned member that stays gone although it answers again. */
  @Test
  public void goneMemberComesBackByRefutation() {
    MembershipTable left = table("node-0");
    MembershipTable right = table("node-1");
    left.merge(right.self());
    right.merge(left.self());
    left.reportUnreachable("node-1");
    right.reportUnreachable("node-0");
    clock.advance(SUSPICION);
    assertTrue(left.tick());
    assertTrue(right.tick());
    assertEquals(left.find("node-1").orElseThrow().state(), MemberState.GONE);
    right.merge(left.find("node-1").orElseThrow());
    assertEquals(right.refutationCount(), 1);
    left.merge(right.self());
    assertEquals(left.find("node-1").orElseThrow().state(), MemberState.ALIVE);
    left.merge(right.find("node-0").orElseThrow());
    right.merge(left.self());
    assertEquals(right.find("node-0").orElseThrow().state(), MemberState.ALIVE);
    assertEquals(left.summaryHash(), right.summaryHash());
  }

  /** Guards against a refutation that resets a leaving node to alive during its drain. */
  @Test
  public void leavingNodeStaysLeavingWhenItRefutes() {
    MembershipTable table = table("node-0");
    table.setSelfState(MemberState.LEAVING);
    table.merge(table.self().withState(MemberState.GONE, table.self().sequence()));
    assertEquals(table.self().state(), MemberState.LEAVING);
  }

  /** Guards against a restarted node whose record is rejected because its clock was set back. */
  @Test
  public void restartedNodeRaisesItsSequenceAboveItsEarlierIncarnation() {
    MembershipTable restarted = table("node-0");
    restarted.merge(record("node-0", "77", 5_000));
    assertTrue(restarted.self().isNewerThan(record("node-0", "77", 5_000)));
    assertEquals(restarted.self().incarnation(), "1");
  }

  /** Guards against removed members that are added again by nodes that still retain them. */
  @Test
  public void removedMemberDoesNotReturnAsGone() {
    MembershipTable table = table("node-0");
    table.merge(record("node-1", "1", 100));
    table.reportUnreachable("node-1");
    clock.advance(SUSPICION);
    table.tick();
    MemberRecord gone = table.find("node-1").orElseThrow();
    clock.advance(RETENTION);
    assertTrue(table.tick());
    assertFalse(table.merge(gone));
    assertTrue(table.view().all().isEmpty());
  }

  /** Guards against unbounded memory use when many different node names appear. */
  @Test
  public void numberOfRecordsIsBounded() {
    MembershipTable table =
        new MembershipTable(
            record("node-0", "1", 100), clock, new MembershipTable.Timing(1, 1_000_000, 3));
    table.merge(record("node-1", "1", 1));
    table.merge(record("node-2", "1", 1));
    assertFalse(table.merge(record("node-3", "1", 1)));
    table.reportUnreachable("node-1");
    clock.advance(Duration.ofNanos(10));
    table.tick();
    assertTrue(table.merge(record("node-3", "1", 1)));
    assertFalse(table.find("node-1").isPresent());
  }

  /** Guards against a node that declares others gone because of its own pause. */
  @Test
  public void pauseRestartsSuspicions() {
    MembershipTable table = table("node-0");
    table.merge(record("node-1", "1", 100));
    table.reportUnreachable("node-1");
    clock.advance(SUSPICION.multipliedBy(10));
    table.restartSuspicionTimers();
    assertFalse(table.tick());
    assertEquals(table.find("node-1").orElseThrow().state(), MemberState.SUSPECT);
  }

  /**
   * Guards against digests that repeat all records, and against older loads replacing newer ones.
   */
  @Test
  public void digestHoldsOnlyChangesAndNewestLoads() {
    MembershipTable table = table("node-0");
    table.merge(record("node-1", "1", 100));
    long version = table.version();
    table.merge(record("node-2", "1", 100));
    assertEquals(table.changedSince(version).size(), 1);
    assertTrue(table.merge(LoadSummary.idle("node-1", 7).withBundle(3, "d")));
    assertFalse(table.merge(LoadSummary.idle("node-1", 6).withBundle(2, "c")));
    assertEquals(table.find("node-1").orElseThrow().bundleVersion(), 3);
    assertEquals(table.changedSince(version).size(), 1);
    assertEquals(table.recentLoads(Duration.ofSeconds(1).toNanos(), 10).size(), 2);
  }

  /** Guards against members that the random probe order never reaches. */
  @Test
  public void everyMemberIsProbedWithinTwoRounds() {
    MembershipTable table = table("node-0");
    for (int i = 1; i <= 20; i++) {
      table.merge(record("node-" + i, "1", 100));
    }
    ProbeOrder order = new ProbeOrder(new Random(7));
    java.util.Set<String> probed = new java.util.HashSet<>();
    for (int i = 0; i < 20; i++) {
      probed.add(order.next(table.view()).orElseThrow().node());
    }
    assertEquals(probed.size(), 20);
  }
}

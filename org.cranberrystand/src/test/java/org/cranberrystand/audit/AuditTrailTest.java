package org.cranberrystand.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.identity.Incarnation;
import org.testng.annotations.Test;

public final class AuditTrailTest {
  private static final AuditMerge.IncarnationKey FIRST =
      new AuditMerge.IncarnationKey("node-a", "0000000000000001");
  private static final AuditMerge.IncarnationKey SECOND =
      new AuditMerge.IncarnationKey("node-b", "0000000000000002");

  @Test
  public void trailKeepsTheNewestEntriesAndMergeMarksOverwrittenEntries() {
    AuditTrail trail = trail("node-a", 1, 3, new HybridClock(() -> 5));
    IntStream.rangeClosed(1, 5).forEach(i -> append(trail, "change " + i));

    List<AuditRecord> merged =
        AuditMerge.merge(trail.entriesAfter(0), ImmutableSet.of(FIRST), ImmutableSet.of(FIRST));

    assertEquals(
        trail.entriesAfter(0).stream().map(AuditEntry::sequence).toList(), List.of(3L, 4L, 5L));
    assertEquals(trail.entriesAfter(4).size(), 1);
    assertEquals(
        merged.get(0),
        new AuditLoss("node-a", FIRST.incarnation(), 1, 2, AuditLoss.Cause.OVERWRITTEN));
    assertEquals(merged.size(), 4);
  }

  /**
   * Guards against listing an effect before its cause when the node of the effect has a slow clock.
   */
  @Test
  public void mergeOrdersAnEffectAfterItsCauseOnANodeWhoseClockIsAhead() {
    HybridClock ahead = new HybridClock(() -> 9_000);
    HybridClock behind = new HybridClock(() -> 1_000);
    AuditTrail causes = trail("node-b", 2, 8, ahead);
    AuditTrail effects = trail("node-a", 1, 8, behind);
    AuditEntry cause = append(causes, "pushed");
    behind.receive(cause.time());
    AuditEntry effect = append(effects, "in force");

    List<AuditRecord> merged =
        AuditMerge.merge(
            ImmutableList.of(effect, cause, effect),
            ImmutableSet.of(),
            ImmutableSet.of(FIRST, SECOND));

    assertEquals(merged, List.of(cause, effect));
  }

  @Test
  public void mergeMarksEntriesLostWithReplacedNodes() {
    AuditEntry old = append(trail("node-a", 1, 8, new HybridClock(() -> 5)), "drained");

    List<AuditRecord> merged =
        AuditMerge.merge(ImmutableList.of(old), ImmutableSet.of(FIRST, SECOND), ImmutableSet.of());

    assertEquals(
        merged,
        List.of(
            new AuditLoss("node-b", SECOND.incarnation(), 1, 0, AuditLoss.Cause.NODE_REPLACED),
            old,
            new AuditLoss("node-a", FIRST.incarnation(), 2, 0, AuditLoss.Cause.NODE_REPLACED)));
  }

  /** Guards against a polling reader that skips an entry because of a concurrent append. */
  @Test
  public void pollingReaderMissesNoEntryOfConcurrentWriters() throws InterruptedException {
    AuditTrail trail = trail("node-a", 1, 100_000, new HybridClock(() -> 5));
    List<Thread> writers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      writers.add(new Thread(() -> IntStream.range(0, 5_000).forEach(n -> append(trail, "x"))));
    }
    writers.forEach(Thread::start);
    List<AuditEntry> read = new ArrayList<>();
    while (read.size() < 20_000) {
      read.addAll(trail.entriesAfter(read.size()));
    }
    for (Thread writer : writers) {
      writer.join();
    }

    for (int i = 0; i < read.size(); i++) {
      assertEquals(read.get(i).sequence(), i + 1L);
      assertTrue(i == 0 || read.get(i).time().compareTo(read.get(i - 1).time()) > 0);
    }
  }

  private static AuditTrail trail(String node, long id, int capacity, HybridClock clock) {
    return new AuditTrail(new Incarnation(node, id), clock, capacity);
  }

  private static AuditEntry append(AuditTrail trail, String what) {
    return trail.append(LogEvent.BUNDLE_IN_FORCE, "operator", "test", what);
  }
}

package org.cranberrystand.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import org.cranberrystand.util.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link DrainTracker}. */
public class DrainTrackerTest {
  private ManualClock clock;
  private DrainTracker tracker;

  @BeforeMethod
  void createTracker() {
    clock = new ManualClock(1);
    tracker = new DrainTracker(clock);
  }

  /** Guards against requests sent to a leaving upstream until a second source confirms it. */
  @Test
  public void firstSignalOfAnySourceIsSufficient() {
    assertTrue(tracker.vmListUpdated(ImmutableSet.of("a")));
    assertTrue(tracker.loadReported("b", true, clock.nowNanos()));
    assertTrue(tracker.refused("c"));
    assertTrue(tracker.reportedByPeer(new DrainTracker.Report("d", 0)));
    assertFalse(tracker.loadReported("a", true, clock.nowNanos()));
    for (String upstream : ImmutableList.of("a", "b", "c", "d")) {
      assertTrue(tracker.isLeaving(upstream), upstream);
    }
    UpstreamDirectory directory =
        UpstreamDirectory.of(
            ImmutableList.of(
                new UpstreamRecord("a", "p", "x:1", "f", false),
                new UpstreamRecord("e", "p", "x:2", "f", false)));
    assertTrue(tracker.apply(directory).find("a").orElseThrow().leaving());
    assertFalse(tracker.apply(directory).find("e").orElseThrow().leaving());
  }

  /** Guards against a wrong report that circulates between nodes forever. */
  @Test
  public void wrongPeerReportExpiresAlthoughPeersRepeatIt() {
    DrainTracker other = new DrainTracker(clock);
    tracker.reportedByPeer(new DrainTracker.Report("a", 0));
    for (int i = 0; i < 12; i++) {
      clock.advance(Duration.ofSeconds(1));
      tracker.reports(10).forEach(other::reportedByPeer);
      other.reports(10).forEach(tracker::reportedByPeer);
    }
    assertFalse(tracker.isLeaving("a"));
    assertFalse(other.isLeaving("a"));
    assertTrue(tracker.expire());
    assertTrue(tracker.reports(10).isEmpty());
  }

  /** Guards against older reports of peers that override the upstream's own load report. */
  @Test
  public void loadReportOfTheUpstreamEndsAnOlderPeerReport() {
    tracker.reportedByPeer(new DrainTracker.Report("a", 0));
    clock.advance(Duration.ofSeconds(1));
    tracker.loadReported("a", false, clock.nowNanos());
    assertFalse(tracker.isLeaving("a"));
    tracker.reportedByPeer(new DrainTracker.Report("a", Duration.ofSeconds(2).toNanos()));
    assertFalse(tracker.isLeaving("a"));
    clock.advance(Duration.ofSeconds(1));
    assertTrue(tracker.reportedByPeer(new DrainTracker.Report("a", 0)));
  }

  /** Guards against an upstream that stays marked after the list no longer marks it. */
  @Test
  public void listSignalIsActiveUntilTheListChanges() {
    tracker.vmListUpdated(ImmutableSet.of("a"));
    clock.advance(Duration.ofHours(1));
    tracker.loadReported("a", false, clock.nowNanos());
    assertTrue(tracker.isLeaving("a"));
    tracker.vmListUpdated(ImmutableSet.of());
    assertFalse(tracker.isLeaving("a"));
    assertEquals(tracker.reports(10).size(), 0);
  }

  /** Guards against a late load report that cancels a refusal newer than its figures. */
  @Test
  public void reportOlderThanARefusalDoesNotEndIt() {
    long reportedAtNanos = clock.nowNanos();
    clock.advance(Duration.ofSeconds(1));
    tracker.refused("a");
    tracker.loadReported("a", false, reportedAtNanos);
    assertTrue(tracker.isLeaving("a"));
  }
}

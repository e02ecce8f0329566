package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.RateBound;
import org.cranberrystand.dispatch.RetryAllowance;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Shares of stated limits while the nodes of a fleet do not hear each other. */
public final class SplitFleetShareTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final int NODES = 8;
  private static final int SLOTS = 10;
  private static final double PER_SECOND = 12;
  private static final double WINDOW_SECONDS = 4;
  private static final int RETRY_SLACK = 56;

  private final List<PeerTable> tables = new ArrayList<>();

  @BeforeMethod
  public void startFleet() {
    tables.clear();
    for (int i = 0; i < NODES; i++) {
      tables.add(new PeerTable(node(i)));
      tables.get(i).expectPeers();
    }
    hear(0, NODES, 0);
  }

  private static NodeInfo node(int number) {
    return new NodeInfo("n" + number, "10.1.0." + number, "c" + number, true, 1);
  }

  /** Lets the nodes of a range hear each other. */
  private void hear(int from, int to, long nowNanos) {
    for (int sender = from; sender < to; sender++) {
      for (int receiver = from; receiver < to; receiver++) {
        tables.get(receiver).receive(report(sender, nowNanos), nowNanos);
      }
    }
  }

  private static PeerReport report(int sender, long nowNanos) {
    return new PeerReport(
        node(sender),
        1,
        nowNanos + 1,
        ReportScope.NODE,
        1,
        1,
        false,
        new PublishedVersion(0, 0),
        false,
        ReportedLoad.NONE,
        SharedObservations.NONE,
        ImmutableList.of());
  }

  /** Lets the halves of the fleet hear themselves only, for 60 s. */
  private void split() {
    for (long now = SECOND; now <= 60 * SECOND; now += SECOND / 2) {
      hear(0, NODES / 2, now);
      hear(NODES / 2, NODES, now);
      tables.forEach(table -> table.refresh(60 * SECOND));
    }
  }

  private double mostRequests(long nowNanos) {
    double requests = 0;
    for (PeerTable table : tables) {
      long interval =
          table.rateShare(nowNanos).minIntervalNanos("u", RateBound.ofStatedLimit(PER_SECOND));
      if (interval != UpstreamLimits.NEVER) {
        requests += 1 + Math.floor(WINDOW_SECONDS * SECOND / interval);
      }
    }
    return requests;
  }

  private int slots(long nowNanos) {
    return tables.stream()
        .mapToInt(table -> table.slotShare("u", SLOTS, table.cellWeights(nowNanos), nowNanos))
        .sum();
  }

  /** Guards against the halves of a split fleet that each take the whole limit. */
  @Test
  public void halvesOfASplitFleetTogetherKeepTheLimits() {
    split();

    double requests = mostRequests(60 * SECOND);
    assertTrue(requests <= 1.5 * WINDOW_SECONDS * PER_SECOND + 5, requests + " requests");
    assertEquals(slots(60 * SECOND), SLOTS);
  }

  /** Guards against the halves of a split fleet that each use the whole slack for retries. */
  @Test
  public void halvesOfASplitFleetTogetherKeepTheSlackOfRetries() {
    split();

    int retries = 0;
    for (PeerTable table : tables) {
      RetryAllowance<String> allowance = RetryAllowance.ofFleet(0.2, RETRY_SLACK);
      allowance.setNodeCount(table.sharingNodeCount(60 * SECOND));
      while (allowance.tryAcquire("app")) {
        retries++;
      }
    }
    assertTrue(retries <= RETRY_SLACK, retries + " retries");
  }

  /** Guards against a node that takes a whole limit because it has just started. */
  @Test
  public void nodeThatHasHeardNobodyTakesASmallShare() {
    PeerTable started = new PeerTable(node(NODES));
    started.expectPeers();

    assertTrue(started.slotShare("u", SLOTS, started.cellWeights(0), 0) <= 1);
    assertEquals(
        started.rateShare(0).minIntervalNanos("u", RateBound.ofStatedLimit(PER_SECOND)),
        UpstreamLimits.NEVER);
  }

  /** Guards against a node that resumes after a long freeze and counts all others as gone. */
  @Test
  public void nodeThatResumesKeepsItsShare() {
    tables.forEach(table -> table.refresh(SECOND));
    double before = mostRequests(2 * SECOND);
    tables.forEach(table -> table.refresh(2_000 * SECOND));

    assertEquals(mostRequests(2_000 * SECOND), before);
  }
}

package org.cranberrystand.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.bundle.Tier;
import org.cranberrystand.bundle.WorkKind;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.UpstreamDirectory;
import org.cranberrystand.upstream.UpstreamRecord;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link Scheduler}. */
public class SchedulerTest {
  private static final long MILLI = 1_000_000;
  private static final int QUEUE_LIMIT = 20;

  private final List<SchedulerAction> actions = new ArrayList<>();
  private Scheduler scheduler;
  private long nowNanos;
  private long nextKey;

  @BeforeMethod
  public void createScheduler() {
    scheduler =
        new Scheduler(SchedulerOptions.builder().queueLimits(QUEUE_LIMIT, 1_000_000).build());
    actions.clear();
    nowNanos = 1;
    nextKey = 1;
    Bundle.Builder bundle = Bundle.builder(1);
    bundle.guaranteedShare(Tier.STANDARD, 0.2).guaranteedShare(Tier.DEFERRABLE, 0.1);
    feed(new SchedulerEvent.BundleChanged(bundle.build(), nowNanos));
  }

  private void feed(SchedulerEvent event) {
    actions.addAll(scheduler.handle(event));
  }

  private void useEngines(int count) {
    List<UpstreamRecord> engines =
        IntStream.range(0, count)
            .mapToObj(i -> new UpstreamRecord("e" + i, "engines", "127.0.0.1:1", "a", false))
            .toList();
    feed(new SchedulerEvent.DirectoryChanged(UpstreamDirectory.of(engines), nowNanos));
  }

  private WorkItem submit(Tier tier, String team, String content) {
    WorkKind kind =
        WorkKind.builder("kind-" + tier.label())
            .tier(tier)
            .pool("engines")
            .repeatable(true)
            .build();
    WorkItem item =
        WorkItem.builder(nextKey++, kind)
            .shop("shop", team)
            .tokens(100, 0)
            .contentDigest(content)
            .times(nowNanos, nowNanos + 60_000 * MILLI)
            .build();
    feed(new SchedulerEvent.Submitted(item, nowNanos));
    return item;
  }

  private <T extends SchedulerAction> List<T> taken(Class<T> type) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private List<SchedulerAction.Reject> rejected(Tier tier) {
    return taken(SchedulerAction.Reject.class).stream()
        .filter(r -> r.item().tier() == tier)
        .toList();
  }

  private String upstreamOf(WorkItem item) {
    return taken(SchedulerAction.Dispatch.class).stream()
        .filter(d -> d.item().key() == item.key())
        .map(d -> d.upstream().name())
        .findFirst()
        .orElse("");
  }

  /** Guards against shedding urgent requests while less urgent ones stay queued. */
  @Test
  public void lowerTiersAreEvictedBeforeUrgentWorkIsShed() {
    useEngines(1);
    for (int i = 0; i < 25; i++) {
      submit(Tier.DEFERRABLE, "a", "");
    }
    assertTrue(scheduler.statistics(nowNanos).queues().get(Tier.DEFERRABLE).requests() > 0);
    for (int i = 0; i < 3 * QUEUE_LIMIT; i++) {
      submit(Tier.URGENT, "a", "");
      boolean shed = !rejected(Tier.URGENT).isEmpty();
      int kept = scheduler.statistics(nowNanos).queues().get(Tier.DEFERRABLE).requests();
      assertTrue(
          !shed || kept == 0, "urgent request shed while deferrable requests were queued: " + kept);
    }
    assertFalse(rejected(Tier.URGENT).isEmpty());
    assertTrue(
        rejected(Tier.DEFERRABLE).stream().anyMatch(r -> r.reason() == NotRunReason.EVICTED));
  }

  /** Guards against rejections without a retry delay, after which callers would retry at once. */
  @Test
  public void everyRejectionStatesWhenToRetry() {
    useEngines(1);
    for (int i = 0; i < 100; i++) {
      submit(Tier.URGENT, "a", "");
    }
    assertFalse(rejected(Tier.URGENT).isEmpty());
    rejected(Tier.URGENT).forEach(r -> assertTrue(r.retryAfterMillis() >= 200));
  }

  /**
   * Guards against shedding urgent requests while a peer has capacity, and against handing over
   * more than the peer reported.
   */
  @Test
  public void urgentWorkIsHandedOverWhileThePeerHasRoom() {
    useEngines(1);
    SchedulerEvent.PeerLoad peer =
        new SchedulerEvent.PeerLoad("peer", ImmutableMap.of(), 500, ImmutableMap.of());
    feed(new SchedulerEvent.PeersChanged("self", ImmutableList.of(peer), nowNanos));
    for (int i = 0; i < 100; i++) {
      submit(Tier.URGENT, "a", "");
    }
    assertEquals(taken(SchedulerAction.HandOver.class).size(), 2);
    assertFalse(rejected(Tier.URGENT).isEmpty());
  }

  /** Guards against shedding the requests of a small team when another team fills the queue. */
  @Test
  public void fullQueueShedsTheFloodingTeam() {
    useEngines(1);
    for (int i = 0; i < 100; i++) {
      submit(Tier.URGENT, "large", "");
    }
    for (int i = 0; i < 3; i++) {
      submit(Tier.URGENT, "small", "");
    }
    assertTrue(rejected(Tier.URGENT).stream().allMatch(r -> r.item().team().equals("large")));
  }

  /**
   * Guards against a third crash caused by the same content, and against quarantining a content
   * that only ran next to it at the first crash.
   */
  @Test
  public void poisonIsQuarantinedAfterTwoCrashesAndInnocentsAreCleared() {
    useEngines(2);
    WorkItem poison = submit(Tier.STANDARD, "a", "poison");
    WorkItem innocent = submit(Tier.STANDARD, "a", "innocent");
    while (!upstreamOf(innocent).equals(upstreamOf(poison))) {
      innocent = submit(Tier.STANDARD, "a", "innocent");
    }
    feed(new SchedulerEvent.ConnectionBroken(poison.key(), nowNanos));
    feed(new SchedulerEvent.ConnectionBroken(innocent.key(), nowNanos));
    for (long key = 1; key < nextKey; key++) {
      feed(new SchedulerEvent.Finished(key, true, nowNanos));
    }
    nowNanos += 5_000 * MILLI;
    WorkItem second = submit(Tier.STANDARD, "a", "poison");
    WorkItem cleared = submit(Tier.STANDARD, "a", "innocent");
    assertFalse(upstreamOf(second).isEmpty());
    assertFalse(upstreamOf(second).equals(upstreamOf(cleared)));
    feed(new SchedulerEvent.ConnectionBroken(second.key(), nowNanos));
    feed(new SchedulerEvent.Finished(cleared.key(), true, nowNanos));
    submit(Tier.STANDARD, "a", "poison");
    assertEquals(rejected(Tier.STANDARD).size(), 1);
    assertEquals(rejected(Tier.STANDARD).get(0).reason(), NotRunReason.QUARANTINED);
    assertEquals(
        scheduler.poisonRegistry().status("innocent", nowNanos),
        PoisonContentRegistry.Status.CLEAR);
  }

  /** Guards against running other requests on the upstream of an isolated suspect. */
  @Test
  public void isolatedSuspectRunsAlone() {
    useEngines(2);
    feed(
        new SchedulerEvent.ContentReported(
            ImmutableMap.of(), ImmutableList.of("suspect"), nowNanos));
    WorkItem suspect = submit(Tier.STANDARD, "a", "suspect");
    for (int i = 0; i < 30; i++) {
      assertFalse(upstreamOf(submit(Tier.URGENT, "a", "")).equals(upstreamOf(suspect)));
    }
  }

  /** Guards against unbounded retries when every upstream refuses. */
  @Test
  public void retriesAfterRefusalsAreLimited() {
    useEngines(4);
    int dispatched = 0;
    for (int i = 0; i < 100; i++) {
      WorkItem item = submit(Tier.STANDARD, "a", "");
      while (actions.get(actions.size() - 1) instanceof SchedulerAction.Dispatch) {
        dispatched++;
        actions.clear();
        feed(new SchedulerEvent.Refused(item.key(), true, 0, nowNanos));
        if (actions.isEmpty()) {
          nowNanos += 500 * MILLI;
          feed(new SchedulerEvent.Tick(nowNanos));
        }
        if (actions.isEmpty()) {
          break;
        }
      }
      nowNanos += 500 * MILLI;
      feed(new SchedulerEvent.Tick(nowNanos));
    }
    assertTrue(dispatched >= 100, "dispatches: " + dispatched);
    assertTrue(dispatched <= 160, "dispatches: " + dispatched);
  }

  /** Guards against losing queued or running requests when the node drains. */
  @Test
  public void drainAnswersEverythingQueuedAndKeepsRunningWork() {
    useEngines(1);
    for (int i = 0; i < 20; i++) {
      submit(Tier.STANDARD, "a", "");
    }
    int dispatched = taken(SchedulerAction.Dispatch.class).size();
    feed(new SchedulerEvent.DrainStarted(nowNanos));
    assertEquals(rejected(Tier.STANDARD).size(), 20 - dispatched);
    assertEquals(scheduler.statistics(nowNanos).running(), dispatched);
    rejected(Tier.STANDARD).forEach(r -> assertEquals(r.reason(), NotRunReason.LEAVING));
  }

  /** Guards against rejections without a recorded reason, which operators could not explain. */
  @Test
  public void everyDecisionIsExplained() {
    useEngines(1);
    for (int i = 0; i < 100; i++) {
      submit(Tier.URGENT, "a", "");
    }
    for (SchedulerAction.Reject reject : rejected(Tier.URGENT)) {
      DecisionRecord decision = scheduler.explain(reject.item().key()).orElseThrow();
      assertEquals(decision.choice(), DecisionRecord.Choice.REJECTED);
      assertFalse(decision.detail().isEmpty());
    }
  }

  /**
   * Guards against a blocked queue: a refused request is not sent to the same upstream again, so
   * with a single upstream it would stay at the head of the queue until its deadline.
   */
  @Test
  public void requestRefusedByItsOnlyUpstreamDoesNotBlockTheQueue() {
    useEngines(1);
    WorkItem refused = submit(Tier.URGENT, "team", "a");
    feed(new SchedulerEvent.Refused(refused.key(), true, 0, nowNanos));
    WorkItem next = submit(Tier.URGENT, "team", "b");
    for (int i = 0; i < 30; i++) {
      nowNanos += 100 * MILLI;
      feed(new SchedulerEvent.Tick(nowNanos));
    }
    assertTrue(
        taken(SchedulerAction.Dispatch.class).stream().anyMatch(d -> d.item() == next),
        "the request queued behind the refused one was not dispatched");
  }
}

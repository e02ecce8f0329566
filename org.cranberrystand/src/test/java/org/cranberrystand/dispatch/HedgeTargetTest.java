package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Optional;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Where hedges are sent. */
public final class HedgeTargetTest {
  private static final long MILLI = 1_000_000L;
  private static final int SLOTS = 2;
  private static final RegisteredUpstream FIRST = upstream("a", "north", 0, false);
  private static final RegisteredUpstream OTHER = upstream("b", "south", 0, false);
  private RecordedDecisions decisions;
  private CallDispatcher dispatcher;

  @BeforeMethod
  public void start() {
    decisions = new RecordedDecisions();
    dispatcher = new CallDispatcher(decisions, 1);
    dispatcher.upstreamsChanged(List.of(FIRST, OTHER), 0);
  }

  private static RegisteredUpstream upstream(
      String id, String domain, long coldMillis, boolean leaving) {
    return new RegisteredUpstream(
        id, "app", "10.0.0.1:80", domain, "v1", SLOTS, 1, coldMillis, leaving);
  }

  private static CallSpec call(long key) {
    return CallSpec.builder(key, "app").times(0, 400 * MILLI, 15_000 * MILLI).build();
  }

  private Optional<String> target(long now) {
    return dispatcher.findHedgeTarget(call(1), FIRST, now).map(found -> found.upstream().id());
  }

  /** Guards against a hedge that fails together with the first attempt. */
  @Test
  public void hedgeGoesToAnotherFailureDomain() {
    assertEquals(target(0), Optional.of("b"));

    dispatcher.upstreamsChanged(List.of(FIRST, upstream("c", "north", 0, false)), 0);
    assertEquals(target(0), Optional.empty());
  }

  /** Guards against hedges to upstreams that must be spared. */
  @Test
  public void sparedUpstreamsGetNoHedge() {
    dispatcher.upstreamsChanged(List.of(FIRST, upstream("c", "south", 5_000, false)), 0);
    assertEquals(target(0), Optional.empty(), "cold");
    dispatcher.upstreamsChanged(List.of(FIRST, upstream("d", "south", 0, true)), 0);
    assertEquals(target(0), Optional.empty(), "leaving");

    dispatcher.upstreamsChanged(List.of(FIRST, OTHER), 0);
    dispatcher.minSendIntervalsChanged(one -> MILLI);
    assertEquals(target(0), Optional.empty(), "rate-limited");
    dispatcher.minSendIntervalsChanged(one -> 0);
    dispatcher.slotSharesChanged(one -> 1);
    assertEquals(target(0), Optional.empty(), "brittle");
    dispatcher.slotSharesChanged(one -> Integer.MAX_VALUE);
    assertEquals(target(0), Optional.of("b"));
    dispatcher.pauseRequested(OTHER, PauseRequest.ofMillis(500), 0);
    assertEquals(target(0), Optional.empty(), "paused");
  }

  /** Guards against hedges to an upstream that was ejected because its requests fail. */
  @Test
  public void ejectedUpstreamGetsNoHedge() {
    for (int key = 10; key < 30; key++) {
      dispatcher.submit(call(key), FIRST.id(), 0);
      dispatcher.ended(key, CallEnding.FAILED, 0);
    }
    dispatcher.tick(0);

    assertEquals(target(0), Optional.empty());
  }

  /** Guards against a hedge that takes the slot of another request, here or at another node. */
  @Test
  public void hedgeNeedsAFreeSlot() {
    dispatcher.peerUsageChanged(ImmutableMap.of("b", new UpstreamUsage(SLOTS, 0)), 0);

    assertEquals(target(0), Optional.empty());
  }

  /** Guards against hedges that prolong an overload: requests wait, or were just refused. */
  @Test
  public void overloadedPoolGetsNoHedge() {
    for (int key = 2; key < 2 + 2 * SLOTS; key++) {
      dispatcher.submit(call(key), null, 0);
    }
    dispatcher.submit(call(9), null, 0);
    assertEquals(dispatcher.waitingCount(), 1);
    assertEquals(target(0), Optional.empty(), "waiting");

    dispatcher.tick(10_000 * MILLI);
    assertEquals(decisions.refused.size(), 1);
    for (int key = 2; key < 2 + 2 * SLOTS; key++) {
      dispatcher.ended(key, CallEnding.ANSWERED, 10_000 * MILLI);
    }
    assertEquals(target(10_500 * MILLI), Optional.empty(), "refused recently");
    assertEquals(target(13_000 * MILLI), Optional.of("b"));
  }

  /** Guards against slots that stay used, or are freed twice, after a hedge has ended. */
  @Test
  public void hedgeUsesASlotUntilItEnds() {
    dispatcher.submit(call(1), OTHER.id(), 0);
    HedgeTarget target = dispatcher.findHedgeTarget(call(1), FIRST, 0).orElseThrow();
    dispatcher.hedgeSent(call(1), target, 0);
    assertEquals(dispatcher.ownUsage().get("b").running(), 1);

    dispatcher.hedgeEnded(1, CallEnding.CANCELLED, 0);
    assertEquals(dispatcher.ownUsage().keySet().asList(), List.of("a"));

    dispatcher.hedgeSent(call(1), target, 0);
    dispatcher.ended(1, CallEnding.CANCELLED, 0);
    dispatcher.hedgePromoted(1);
    assertEquals(dispatcher.ownUsage().keySet().asList(), List.of("b"));
    dispatcher.ended(1, CallEnding.ANSWERED, 0);
    assertTrue(dispatcher.ownUsage().isEmpty());
  }
}

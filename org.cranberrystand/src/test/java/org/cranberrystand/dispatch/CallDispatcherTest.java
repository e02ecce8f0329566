package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class CallDispatcherTest {
  private static final long MILLI = 1_000_000L;
  private static final int SLOTS = 2;
  private RecordedDecisions decisions;
  private CallDispatcher dispatcher;

  @BeforeMethod
  public void startWithTwoEngines() {
    decisions = new RecordedDecisions();
    dispatcher = new CallDispatcher(decisions, 1);
    dispatcher.upstreamsChanged(List.of(engine("a"), engine("b")), 0);
  }

  private static RegisteredUpstream engine(String id) {
    return new RegisteredUpstream(id, "llm", "10.0.0.1:80", "d", "v1", SLOTS, 1, 0, false);
  }

  private static CallSpec call(long key, int priority, long arrivalMillis) {
    return CallSpec.builder(key, "llm")
        .streaming(true)
        .priority(priority)
        .size(500, 20)
        .times(
            arrivalMillis * MILLI, (arrivalMillis + 400) * MILLI, (arrivalMillis + 15_000) * MILLI)
        .build();
  }

  private static CallSpec teamCall(long key, String team) {
    return CallSpec.builder(key, "llm")
        .streaming(true)
        .size(500, 20)
        .times(0, 400 * MILLI, 15_000 * MILLI)
        .team(team, 1, 500)
        .build();
  }

  private void fillAllSlots() {
    for (int key = 1; key <= 2 * SLOTS; key++) {
      dispatcher.submit(call(key, 0, 0), null, 0);
    }
  }

  /** Guards against requests queued at an engine, where urgent ones cannot overtake. */
  @Test
  public void noEngineGetsMoreThanItsSlots() {
    fillAllSlots();
    dispatcher.submit(call(9, 0, 0), null, 0);

    assertEquals(decisions.sent.size(), 2 * SLOTS);
    assertEquals(decisions.sent.stream().filter(s -> s.upstream().equals("a")).count(), SLOTS);
    assertEquals(dispatcher.waitingCount(), 1);
  }

  @Test
  public void freedSlotGoesToTheMostUrgentRequest() {
    fillAllSlots();
    dispatcher.submit(call(10, 2, 0), null, 0);
    dispatcher.submit(call(11, 0, 1), null, MILLI);
    dispatcher.ended(1, CallEnding.ANSWERED, 2 * MILLI);

    assertEquals(decisions.sentKeys().get(2 * SLOTS), 11L);
  }

  /** Guards against an upstream that gets its share twice because it was unusable in between. */
  @Test
  public void sendIntervalHoldsAcrossUnusableTimes() {
    dispatcher.upstreamsChanged(List.of(engine("a")), 0);
    dispatcher.minSendIntervalsChanged(upstream -> 1_000 * MILLI);
    dispatcher.submit(call(1, 0, 0), null, 0);
    dispatcher.ended(1, CallEnding.ANSWERED, 100 * MILLI);
    dispatcher.upstreamsChanged(List.of(), 200 * MILLI);
    dispatcher.tick(250 * MILLI);
    dispatcher.upstreamsChanged(List.of(engine("a")), 300 * MILLI);
    dispatcher.submit(call(2, 0, 300), null, 300 * MILLI);
    assertEquals(decisions.sentKeys(), List.of(1L));

    dispatcher.tick(1_000 * MILLI);
    assertEquals(decisions.sentKeys(), List.of(1L, 2L));
  }

  /**
   * Guards against upstreams that may have started again and receive the usual rate, and against
   * sound ones that count as cold because they reset a connection.
   */
  @Test
  public void onlyAFailureToConnectIsLostContact() {
    List<String> lost = new ArrayList<>();
    dispatcher.setContactLostListener(upstream -> lost.add(upstream.id()));
    for (CallEnding ending : CallEnding.values()) {
      dispatcher.submit(call(1, 0, 0), "a", 0);
      dispatcher.ended(1, ending, MILLI);
    }
    assertEquals(lost, List.of());

    dispatcher.connectEnded(engine("b"), false, MILLI);
    assertEquals(lost, List.of("b"));
  }

  /** Guards against nodes that use the same slot although they report their usage. */
  @Test
  public void slotsUsedByOtherNodesAreNotFree() {
    dispatcher.peerUsageChanged(ImmutableMap.of("a", new UpstreamUsage(SLOTS, 0)), 0);
    dispatcher.submit(call(1, 0, 0), null, 0);
    dispatcher.submit(call(2, 0, 0), null, 0);
    dispatcher.submit(call(3, 0, 0), null, 0);

    assertTrue(decisions.sent.stream().allMatch(s -> s.upstream().equals("b")));
    assertEquals(dispatcher.waitingCount(), 1);
  }

  @Test
  public void engineWithPendingPrefillIsAvoided() {
    dispatcher.peerUsageChanged(ImmutableMap.of("a", new UpstreamUsage(1, 20_000)), 0);
    dispatcher.submit(call(1, 0, 0), null, 0);

    assertEquals(decisions.sent.get(0).upstream(), "b");
  }

  @Test
  public void retryAvoidsTheUpstreamThatFailed() {
    for (int key = 1; key <= 6; key++) {
      dispatcher.submit(call(key, 0, 0), "a", 0);
      dispatcher.ended(key, CallEnding.CANCELLED, 0);
    }

    assertTrue(decisions.sent.stream().allMatch(s -> s.upstream().equals("b")));
  }

  /** Guards against a retry that waits for another upstream and blocks the queue behind it. */
  @Test
  public void requestThatExcludesAnUpstreamDoesNotBlockOthers() {
    dispatcher.peerUsageChanged(ImmutableMap.of("b", new UpstreamUsage(SLOTS, 0)), 0);
    dispatcher.submit(call(1, 0, 0), "a", 0);
    dispatcher.submit(call(2, 1, 0), null, 0);

    assertEquals(decisions.sentKeys(), List.of(2L));
    assertEquals(dispatcher.waitingCount(), 1);
  }

  /** Guards against requests that wait for an upstream whose rate is used by other nodes. */
  @Test
  public void upstreamLimitedForOtherNodesGetsNoRequests() {
    dispatcher.minSendIntervalsChanged(u -> u.id().equals("a") ? UpstreamLimits.NEVER : 0);
    for (int key = 1; key <= SLOTS; key++) {
      dispatcher.submit(call(key, 0, 0), null, 0);
    }
    assertTrue(decisions.sent.stream().allMatch(s -> s.upstream().equals("b")));
    assertEquals(decisions.sent.size(), SLOTS);

    dispatcher.minSendIntervalsChanged(u -> UpstreamLimits.NEVER);
    dispatcher.submit(call(9, 0, 0), null, 0);
    assertEquals(decisions.refused.get(0).key(), 9L);
  }

  /** Guards against exceeding the share of this node in the rate limit of an upstream. */
  @Test
  public void limitedUpstreamGetsOneRequestInEachInterval() {
    dispatcher.upstreamsChanged(List.of(engine("a")), 0);
    dispatcher.minSendIntervalsChanged(u -> 500 * MILLI);
    for (long tick = 0; tick <= 20; tick++) {
      dispatcher.submit(call(tick + 1, 0, tick * 50), null, tick * 50 * MILLI);
      dispatcher.tick(tick * 50 * MILLI);
      decisions.sentKeys().forEach(key -> dispatcher.ended(key, CallEnding.ANSWERED, 0));
    }

    assertEquals(decisions.sent.size(), 3);
  }

  /** Guards against nodes of several cells that use the same slots, based on stale reports. */
  @Test
  public void preferredUpstreamsAreFilledFirstAndOthersKeepOneSlotFree() {
    dispatcher.upstreamsChanged(List.of(engine("a"), engine("b"), engine("c"), engine("d")), 0);
    dispatcher.preferredUpstreamsChanged(id -> id.equals("a") || id.equals("b"));
    for (int key = 1; key <= 4 * SLOTS; key++) {
      dispatcher.submit(call(key, 0, 0), null, 0);
    }

    List<String> used = decisions.sent.stream().map(sent -> sent.upstream()).toList();
    assertTrue(used.get(0).equals("a") || used.get(0).equals("b"), used.toString());
    assertEquals(used.stream().filter(u -> u.equals("a") || u.equals("b")).count(), 2 * SLOTS);
    assertEquals(used.stream().filter(u -> u.equals("c")).count(), SLOTS - 1);
    assertEquals(used.stream().filter(u -> u.equals("d")).count(), SLOTS - 1);
    assertEquals(dispatcher.waitingCount(), 2);
  }

  private static CallSpec callWithPrefix(long key, long prefix) {
    return CallSpec.builder(key, "llm")
        .streaming(true)
        .size(4_000, 20)
        .prefix(prefix, 3_000)
        .times(0, 400 * MILLI, 15_000 * MILLI)
        .build();
  }

  /** Guards against several engines that each compute the prefill of the same prompt prefix. */
  @Test
  public void promptsWithTheSamePrefixGoToOneEngine() {
    dispatcher.upstreamsChanged(List.of(engine("a"), engine("b"), engine("c"), engine("d")), 0);
    Set<String> all = new HashSet<>();
    for (long prefix = 0; prefix < 20; prefix++) {
      Set<String> engines = new HashSet<>();
      for (int i = 0; i < 5; i++) {
        long key = prefix * 5 + i;
        dispatcher.submit(callWithPrefix(key, prefix), null, 0);
        engines.add(decisions.sent.get(decisions.sent.size() - 1).upstream());
        dispatcher.ended(key, CallEnding.CANCELLED, 0);
      }
      assertEquals(engines.size(), 1, "prefix " + prefix);
      all.addAll(engines);
    }
    assertEquals(all.size(), 4);
  }

  /** Guards against requests that wait for the engine that caches their prefix. */
  @Test
  public void promptsWithTheSamePrefixSpreadWhenTheirEngineIsFull() {
    for (int key = 0; key < 2 * SLOTS; key++) {
      dispatcher.submit(callWithPrefix(key, 7), null, 0);
    }

    assertEquals(decisions.sent.size(), 2 * SLOTS);
  }

  /** Guards against requests sent to an unreachable engine while another has a free slot. */
  @Test
  public void unreachableUpstreamIsNotTriedAgainAtOnce() {
    dispatcher.submit(call(1, 0, 0), null, 0);
    String failed = decisions.sent.get(0).upstream();
    dispatcher.ended(1, CallEnding.UNREACHABLE, MILLI);
    dispatcher.submit(call(2, 0, 1), null, 2 * MILLI);

    assertNotEquals(decisions.sent.get(1).upstream(), failed);
  }

  /** Guards against a request that is queued until its deadline and refused only then. */
  @Test
  public void requestThatWaitsTooLongIsRefusedEarly() {
    fillAllSlots();
    dispatcher.submit(call(9, 0, 0), null, 0);
    dispatcher.tick(6_000 * MILLI);

    assertEquals(decisions.refused.size(), 1);
    assertEquals(decisions.refused.get(0).reason(), NotRunReason.OVERLOADED);
    assertTrue(decisions.refused.get(0).retryAfterMillis() > 0);
  }

  /** Guards against refused callers that retry during the same burst or all at once. */
  @Test
  public void retryTimesOfRefusedCallersAreSpread() {
    fillAllSlots();
    for (int key = 10; key < 40; key++) {
      dispatcher.submit(call(key, 0, 0), null, 0);
    }
    dispatcher.tick(6_000 * MILLI);

    long least =
        decisions.refused.stream().mapToLong(r -> r.retryAfterMillis()).min().orElseThrow();
    long most = decisions.refused.stream().mapToLong(r -> r.retryAfterMillis()).max().orElseThrow();
    assertTrue(least >= 1_000, "least " + least);
    assertTrue(most <= 5_000, "most " + most);
    assertTrue(most - least >= 500, "from " + least + " to " + most);
  }

  /** Guards against a request that is queued until its caller has disconnected. */
  @Test
  public void requestIsRefusedBeforeItsCallerDisconnects() {
    fillAllSlots();
    CallSpec callWithShortWait =
        CallSpec.builder(9, "llm")
            .streaming(true)
            .times(0, 400 * MILLI, 15_000 * MILLI)
            .streamTiming(250 * MILLI, 2_000 * MILLI)
            .build();
    dispatcher.submit(callWithShortWait, null, 0);
    dispatcher.tick(1_050 * MILLI);

    assertEquals(decisions.refused.size(), 1);
  }

  /** Guards against a long response at a slow engine that cannot finish before the deadline. */
  @Test
  public void longResponseGoesToTheEngineThatFinishesInTime() {
    for (int key = 1; key <= 40; key++) {
      dispatcher.submit(call(key, 0, key * 10_000L), null, key * 10_000L * MILLI);
      boolean slow = decisions.sent.get(key - 1).upstream().equals("a");
      for (int event = 0; event < 10; event++) {
        long gap = slow ? 150 : 20;
        dispatcher.eventsReceived(key, 1, (key * 10_000L + 40 + event * gap) * MILLI);
      }
      dispatcher.ended(key, CallEnding.ANSWERED, (key * 10_000L + 2_000) * MILLI);
    }
    long now = 500_000;
    for (int key = 101; key <= 102; key++) {
      dispatcher.submit(
          CallSpec.builder(key, "llm")
              .streaming(true)
              .size(500, 200)
              .times(now * MILLI, (now + 400) * MILLI, (now + 15_000) * MILLI)
              .build(),
          null,
          now * MILLI);
      assertEquals(decisions.sent.get(decisions.sent.size() - 1).upstream(), "b");
    }
  }

  /** Guards against a request that can meet its target queued behind one that cannot. */
  @Test
  public void requestsThatAreLateGoLast() {
    fillAllSlots();
    dispatcher.submit(call(9, 0, 0), null, 0);
    dispatcher.tick(1_000 * MILLI);
    dispatcher.submit(call(10, 1, 1_000), null, 1_000 * MILLI);
    dispatcher.ended(1, CallEnding.ANSWERED, 1_001 * MILLI);

    assertEquals(decisions.sentKeys().get(2 * SLOTS), 10L);
  }

  @Test
  public void poolWithoutUpstreamsRefuses() {
    CallSpec call = CallSpec.builder(1, "other").times(0, 400 * MILLI, 1_000 * MILLI).build();
    dispatcher.submit(call, null, 0);

    assertEquals(decisions.refused.get(0).reason(), NotRunReason.NO_UPSTREAM);
  }

  /** Guards against an engine that passes health checks but fails every request. */
  @Test
  public void engineThatFailsRepeatedlyIsEjected() {
    dispatcher.upstreamsChanged(List.of(engine("a"), engine("b"), engine("c")), 0);
    int key = 0;
    for (int i = 0; i < 60; i++) {
      dispatcher.submit(call(++key, 0, i), null, i * MILLI);
      RecordedDecisions.Sent sent = decisions.sent.get(decisions.sent.size() - 1);
      boolean fails = sent.upstream().equals("a");
      dispatcher.ended(key, fails ? CallEnding.FAILED : CallEnding.ANSWERED, i * MILLI);
      dispatcher.tick(i * MILLI);
    }

    assertTrue(decisions.sent.stream().filter(s -> s.upstream().equals("a")).count() < 10);
  }

  @Test
  public void usageCountsPrefillUntilTheFirstEvent() {
    dispatcher.submit(call(1, 0, 0), null, 0);
    String upstream = decisions.sent.get(0).upstream();

    assertEquals(dispatcher.ownUsage().get(upstream), new UpstreamUsage(1, 500));
    dispatcher.eventsReceived(1, 1, MILLI);
    assertEquals(dispatcher.ownUsage().get(upstream), new UpstreamUsage(1, 0));
    dispatcher.ended(1, CallEnding.ANSWERED, 2 * MILLI);
    assertTrue(dispatcher.ownUsage().isEmpty());
  }

  private void pause(String id, String seconds, long nowNanos) {
    dispatcher.pauseRequested(engine(id), PauseRequest.ofSeconds(seconds), nowNanos);
  }

  /** Guards against requests to an engine that asked this node for a pause. */
  @Test
  public void pausedEngineGetsNoRequestsUntilItsPauseEnds() {
    pause("a", "1.5", 0);
    for (int key = 1; key <= 4; key++) {
      dispatcher.submit(call(key, 0, 0), null, 0);
    }
    assertEquals(decisions.sent.stream().filter(s -> s.upstream().equals("a")).count(), 0);

    dispatcher.tick(1_499 * MILLI);
    assertEquals(decisions.sent.size(), SLOTS);
    dispatcher.tick(1_500 * MILLI);
    assertEquals(decisions.sent.size(), 2 * SLOTS);
  }

  /**
   * Guards against a pause that is forgotten when the registration of the engine comes and goes.
   */
  @Test
  public void pauseOutlastsTheRegistrationButNotTheIncarnation() {
    pause("a", "2", 0);
    dispatcher.upstreamsChanged(List.of(engine("b")), 0);
    dispatcher.upstreamsChanged(List.of(engine("a"), engine("b")), 0);
    fillAllSlots();
    assertEquals(decisions.sent.size(), SLOTS);

    RegisteredUpstream restarted =
        new RegisteredUpstream("a", "llm", "10.0.0.1:80", "d", "v1", SLOTS, 2, 0, false);
    dispatcher.upstreamsChanged(List.of(restarted, engine("b")), 0);
    assertEquals(decisions.sent.size(), 2 * SLOTS);
  }

  /**
   * Guards against requests that wait in vain while all engines are paused, and against telling
   * their callers to return before the first engine does.
   */
  @Test
  public void requestIsRefusedAtOnceIfAllEnginesArePausedForTooLong() {
    pause("a", "9", 0);
    pause("b", "8", 0);
    dispatcher.submit(call(1, 0, 0), null, 0);

    assertEquals(decisions.refused.size(), 1);
    assertEquals(decisions.refused.get(0).reason(), NotRunReason.OVERLOADED);
    assertTrue(decisions.refused.get(0).retryAfterMillis() >= 8_000);
  }

  /** Guards against refusing a request that a short pause delays only a little. */
  @Test
  public void requestWaitsForTheEndOfAShortPause() {
    pause("a", "0.5", 0);
    pause("b", "0.3", 0);
    dispatcher.submit(call(1, 0, 0), null, 0);
    assertEquals(decisions.refused, List.of());

    dispatcher.tick(300 * MILLI);
    assertEquals(decisions.sent, List.of(new RecordedDecisions.Sent(1, "b")));
  }

  /**
   * Guards against refusing a stream that broke off midway because new requests fill the pool: its
   * caller has part of the answer, and no truthful refusal is left.
   */
  @Test
  public void requestThatMayHaveRunGoesFirst() {
    fillAllSlots();
    for (int key = 10; key < 20; key++) {
      dispatcher.submit(call(key, 0, 0), null, 0);
    }
    dispatcher.ended(1, CallEnding.BROKEN, 500 * MILLI);
    String broken = decisions.sent.get(0).upstream();
    dispatcher.resubmit(call(1, 2, 0), broken, 500 * MILLI);
    assertTrue(decisions.refused.stream().noneMatch(r -> r.key() == 1));

    long onOther =
        decisions.sent.stream().filter(s -> !s.upstream().equals(broken)).findFirst().get().key();
    dispatcher.ended(onOther, CallEnding.ANSWERED, 600 * MILLI);
    assertEquals(decisions.sent.get(decisions.sent.size() - 1).key(), 1);
  }

  /** Guards against losing a stream half way, whose caller waits for the rest, to new requests. */
  @Test
  public void resumedStreamGoesBeforeRequestsThatBegin() {
    fillAllSlots();
    for (int key = 10; key < 20; key++) {
      dispatcher.submit(call(key, 0, 0), null, 0);
      dispatcher.submit(teamCall(key + 10, "large"), null, 0);
    }
    dispatcher.submit(call(30, 2, 0).continuedAt("v1"), null, 0);
    dispatcher.submit(teamCall(31, "large").continuedAt("v1"), null, 0);
    assertTrue(decisions.refused.stream().noneMatch(r -> r.key() >= 30));

    dispatcher.ended(1, CallEnding.ANSWERED, 100 * MILLI);
    dispatcher.ended(2, CallEnding.ANSWERED, 100 * MILLI);
    assertEquals(
        Set.copyOf(decisions.sentKeys().subList(2 * SLOTS, 2 * SLOTS + 2)), Set.of(30L, 31L));
  }

  /** Guards against a request that leaves a silent engine although no other one has a free slot. */
  @Test
  public void requestCanMoveOnlyToAFreeSlotElsewhere() {
    dispatcher.submit(call(1, 0, 0), "b", 0);
    assertTrue(dispatcher.canMove(call(1, 0, 0), "a", 0));
    assertTrue(dispatcher.canMove(call(1, 0, 0), "b", 0));

    dispatcher.peerUsageChanged(ImmutableMap.of("b", new UpstreamUsage(SLOTS, 0)), 0);
    assertFalse(dispatcher.canMove(call(1, 0, 0), "a", 0));
  }

  @DataProvider
  public Object[][] statedPauses() {
    return new Object[][] {
      {"1", 1_000L, true},
      {" 0.25 ", 250L, true},
      {"0", 0L, true},
      {"-1", 0L, false},
      {"NaN", 0L, false},
      {"soon", 0L, false},
      {"", 0L, false},
      {"Infinity", PauseRequest.MAX_MILLIS, false},
      {"86400", PauseRequest.MAX_MILLIS, false},
    };
  }

  /** Guards against one wrong value that takes an engine out of service, or fails its response. */
  @Test(dataProvider = "statedPauses")
  public void statedPauseIsLimited(String stated, long millis, boolean valid) {
    assertEquals(PauseRequest.ofSeconds(stated), new PauseRequest(millis, stated, valid));
  }

  /** Guards against requests that wait in vain after all upstreams were withdrawn at once. */
  @Test
  public void waitingRequestsAreRefusedWhenAllUpstreamsAreWithdrawn() {
    fillAllSlots();
    dispatcher.submit(call(9, 0, 0), null, 0);
    dispatcher.upstreamsWithdrawn(List.of(), MILLI);

    assertEquals(dispatcher.waitingCount(), 0);
    assertEquals(decisions.refused.get(0).reason(), NotRunReason.NO_UPSTREAM);
    assertEquals(dispatcher.runningCount(), 2 * SLOTS);
  }

  /**
   * Guards against refusing all waiting requests of a pool that lost a part of its upstreams, and
   * against keeping those that the rest cannot serve in time.
   */
  @Test
  public void waitingRequestsBeyondTheRemainingCapacityAreRefused() {
    fillAllSlots();
    for (int key = 10; key < 30; key++) {
      dispatcher.submit(call(key, 0, 0), null, 0);
    }
    int waitingBefore = dispatcher.waitingCount();
    dispatcher.upstreamsWithdrawn(List.of(engine("a")), MILLI);

    assertTrue(dispatcher.waitingCount() > 0);
    assertTrue(dispatcher.waitingCount() < waitingBefore, "waiting " + waitingBefore);
  }

  /** Guards against refusing waiting requests while the pool keeps its capacity. */
  @Test
  public void waitingRequestsOfOtherPoolsAreKept() {
    fillAllSlots();
    dispatcher.submit(call(9, 0, 0), null, 0);
    dispatcher.upstreamsWithdrawn(List.of(engine("a"), engine("b")), MILLI);

    assertEquals(dispatcher.waitingCount(), 1);
  }

  /** Guards against requests sent by an out-of-date state after a freeze of the VM. */
  @Test
  public void nothingIsSentAfterAStandstillUntilTheStateIsConfirmed() {
    dispatcher.setMaxStandstill(2_500 * MILLI);
    dispatcher.tick(0);
    dispatcher.submit(call(1, 0, 6_000), null, 6_000 * MILLI);
    dispatcher.tick(6_050 * MILLI);
    assertEquals(decisions.sent.size(), 0);
    assertEquals(decisions.refused.size(), 0);
    assertTrue(dispatcher.heldNanos(6_050 * MILLI) > 0);

    dispatcher.stateConfirmed(6_100 * MILLI);
    assertEquals(decisions.sent.size(), 1);
    assertEquals(dispatcher.heldNanos(6_100 * MILLI), 0);
  }

  /** Guards against a node that holds requests for ever because nobody confirms its state. */
  @Test
  public void holdEndsIfNobodyConfirmsTheState() {
    dispatcher.setMaxStandstill(2_500 * MILLI);
    dispatcher.tick(0);
    dispatcher.tick(6_000 * MILLI);
    dispatcher.submit(call(1, 0, 6_000), null, 6_000 * MILLI);
    for (int now = 6_050; now < 8_000; now += 50) {
      dispatcher.tick(now * MILLI);
    }
    assertEquals(decisions.sent.size(), 0);
    dispatcher.tick(8_000 * MILLI);
    assertEquals(decisions.sent.size(), 1);
  }
}

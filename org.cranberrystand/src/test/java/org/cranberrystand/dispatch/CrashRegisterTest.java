package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class CrashRegisterTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long KEY = 42;
  private static final long COMMON_KEY = 43;

  private CrashRegister register;
  private CrashRegister peer;

  @BeforeMethod
  public void createRegisters() {
    register = new CrashRegister();
    peer = new CrashRegister();
  }

  private static void crash(CrashRegister target, long key, String upstream, long atNanos) {
    target.crashed(ImmutableList.of(key), upstream, 0, atNanos, atNanos);
  }

  private static boolean isRefused(CrashRegister target, long key, long nowNanos) {
    return isRefused(target, ImmutableList.of(key), nowNanos);
  }

  private static boolean isRefused(CrashRegister target, List<Long> keys, long nowNanos) {
    return target.judge(keys, nowNanos).refusalNanos() > 0;
  }

  /** Guards against a request that crashes upstreams one after another through different nodes. */
  @Test
  public void crashesAtOtherNodesCount() {
    crash(peer, KEY, "a", 0);
    crash(peer, KEY, "b", SECOND);
    crash(register, KEY, "c", 2 * SECOND);
    assertFalse(isRefused(register, KEY, 2 * SECOND));

    assertEquals(
        register.reported(peer.reports(2 * SECOND), 2 * SECOND),
        ImmutableList.of(new CrashRegister.Change(KEY, CrashRegister.ChangeKind.SUSPECTED, 3)));

    assertTrue(isRefused(register, KEY, 2 * SECOND));
    assertFalse(isRefused(register, KEY + 1, 2 * SECOND));
  }

  /** Guards against counting one crash once for each node and each report. */
  @Test
  public void crashThatSeveralNodesSawCountsOnce() {
    for (int i = 0; i < 3; i++) {
      crash(register, KEY, "a", i * SECOND);
      crash(peer, KEY, "a", i * SECOND);
      register.reported(peer.reports(i * SECOND), i * SECOND);
    }

    assertFalse(isRefused(register, KEY, 2 * SECOND));
  }

  /** Guards against refusing what all requests share because of the requests that crash. */
  @Test
  public void keyThatIsAnsweredAtAnyNodeIsAccepted() {
    for (int i = 0; i < 6; i++) {
      register.crashed(ImmutableList.of(KEY, COMMON_KEY), "u" + i, 0, i * SECOND, i * SECOND);
      peer.answered(ImmutableList.of(COMMON_KEY), i * SECOND + SECOND / 2);
      peer.reported(register.reports(i * SECOND + SECOND / 2), i * SECOND + SECOND / 2);
      register.reported(peer.reports(i * SECOND + SECOND / 2), i * SECOND + SECOND / 2);
    }

    assertTrue(isRefused(register, KEY, 6 * SECOND));
    assertTrue(isRefused(peer, KEY, 6 * SECOND));
    assertFalse(isRefused(register, COMMON_KEY, 6 * SECOND));
    assertFalse(isRefused(peer, COMMON_KEY, 6 * SECOND));
  }

  /** Guards against blaming requests that lost their upstreams together, with a domain or link. */
  @Test
  public void crashesAtTheSameMomentCountOnce() {
    for (int i = 0; i < 6; i++) {
      crash(register, KEY, "u" + i, i * SECOND / 100);
    }

    assertFalse(isRefused(register, KEY, SECOND));
  }

  /**
   * Guards against a node that accepts refused content because it was started after the crashes.
   */
  @Test
  public void nodeStartedLaterLearnsWhatIsRefused() {
    for (int i = 0; i < 3; i++) {
      crash(peer, KEY, "u" + i, i * SECOND);
    }

    register.reported(peer.reports(60 * SECOND), 60 * SECOND);

    assertTrue(isRefused(register, KEY, 60 * SECOND));
  }

  /** Guards against an answer whose age grows less than it should while it is passed around. */
  @Test
  public void answerBeforeTheCrashesNeverClearsThem() {
    peer.answered(ImmutableList.of(KEY), 0);
    for (int i = 1; i <= 3; i++) {
      crash(peer, KEY, "u" + i, i * SECOND);
    }
    for (int i = 0; i < 400; i++) {
      long now = 3 * SECOND + i * SECOND / 10;
      register.reported(peer.reports(now), now + SECOND / 100);
      peer.reported(register.reports(now), now + SECOND / 100);
    }

    assertTrue(isRefused(peer, KEY, 50 * SECOND));
    assertTrue(isRefused(register, KEY, 50 * SECOND));
  }

  /** Guards against content that crashes as many upstreams again each time its refusal ends. */
  @Test
  public void oneCrashAfterTheRefusalRenewsItForLonger() {
    for (int i = 0; i < 3; i++) {
      crash(register, KEY, "u" + i, i * SECOND);
    }
    assertFalse(isRefused(register, KEY, 130 * SECOND));

    crash(register, KEY, "u3", 130 * SECOND);

    assertTrue(isRefused(register, KEY, 300 * SECOND));
  }

  /**
   * Guards against content that is accepted because other content crashed more upstreams meanwhile
   * than are kept.
   */
  @Test
  public void manyCrashesOfOtherContentDoNotExplainThose() {
    for (int i = 0; i < 12; i++) {
      crash(register, COMMON_KEY, "common" + i, i * SECOND);
    }
    for (int i = 0; i < 3; i++) {
      crash(register, KEY, "u" + i, i * SECOND + SECOND / 2);
    }

    assertTrue(isRefused(register, KEY, 12 * SECOND));
  }

  /** Guards against refusing sound content for crashes of which only the identity is kept. */
  @Test
  public void manyCrashesOfOtherContentExplainThoseThatItHadPartIn() {
    for (int i = 0; i < 24; i++) {
      crash(register, COMMON_KEY, "u" + i, i * SECOND);
    }
    for (int i = 9; i < 12; i++) {
      crash(register, KEY, "u" + i, i * SECOND);
    }

    assertFalse(isRefused(register, KEY, 24 * SECOND));
    assertTrue(isRefused(register, COMMON_KEY, 24 * SECOND));
  }

  private static void crashTogether(CrashRegister target, List<Long> keys, int firstUpstream) {
    for (int i = 0; i < 3; i++) {
      target.crashed(keys, "u" + (firstUpstream + i), 0, i * SECOND, i * SECOND);
    }
  }

  /**
   * Guards against refusing what sound requests share with the requests that crash, for want of an
   * answer between the crashes: earlier answers show that it is sound.
   */
  @Test
  public void keyThatWasAnsweredBeforeTheCrashesIsNotBlamed() {
    register.answered(ImmutableList.of(COMMON_KEY), 0);
    for (int i = 1; i <= 3; i++) {
      register.crashed(ImmutableList.of(COMMON_KEY, KEY), "u" + i, 0, i * SECOND, i * SECOND);
    }

    assertEquals(register.suspicion(COMMON_KEY, 4 * SECOND), Suspicion.EXPLAINED);
    assertFalse(isRefused(register, ImmutableList.of(COMMON_KEY, 44L), 4 * SECOND));
    assertTrue(isRefused(register, ImmutableList.of(COMMON_KEY, KEY), 4 * SECOND));
  }

  /** Guards against a node that blames a sound key because only others received answers to it. */
  @Test
  public void answersBeforeTheCrashesAtOtherNodesCount() {
    peer.answered(ImmutableList.of(COMMON_KEY), 0);
    CrashRegister third = new CrashRegister();
    crashTogether(register, ImmutableList.of(COMMON_KEY, KEY), 0);
    long now = 3 * SECOND;
    peer.reported(register.reports(now), now);
    third.reported(peer.reports(now), now);
    register.reported(third.reports(now), now);

    assertEquals(register.suspicion(COMMON_KEY, now), Suspicion.EXPLAINED);
    assertEquals(register.suspicion(KEY, now), Suspicion.CERTAIN);
  }

  /**
   * Guards against a suspicion that no answer can clear, because every request that could get one
   * is refused.
   */
  @Test
  public void oneRequestAtATimeFindsOutWhichOfTwoKeysCrashes() {
    crashTogether(register, ImmutableList.of(COMMON_KEY, KEY), 0);
    List<Long> sound = ImmutableList.of(COMMON_KEY, 44L);
    long now = 3 * SECOND;
    assertTrue(isRefused(register, ImmutableList.of(COMMON_KEY, KEY, 45L), now));
    CrashRegister.Verdict verdict = register.judge(sound, now);
    assertTrue(verdict.isProbe());
    assertEquals(verdict.probedKeys(), ImmutableList.of(COMMON_KEY));

    register.probeSent(verdict.probedKeys(), now);
    assertTrue(isRefused(register, sound, now + SECOND / 2));
    register.answered(ImmutableList.of(COMMON_KEY), now + SECOND / 2);

    assertFalse(isRefused(register, sound, now + SECOND / 2));
    assertEquals(register.suspicion(KEY, now + SECOND / 2), Suspicion.CERTAIN);
  }

  /** Guards against letting the next request through after a probe has crashed its upstream. */
  @Test
  public void crashOfAProbeConvictsItsKeyAndAcquitsTheOther() {
    crashTogether(register, ImmutableList.of(COMMON_KEY, KEY), 0);
    crash(register, KEY, "u9", 4 * SECOND);

    assertEquals(register.suspicion(KEY, 5 * SECOND), Suspicion.CERTAIN);
    assertEquals(register.suspicion(COMMON_KEY, 5 * SECOND), Suspicion.EXPLAINED);
  }

  /** Guards against refusing the parts of a request that is itself sent again and again. */
  @Test
  public void partsOfARepeatedRequestAreProbed() {
    crashTogether(register, ImmutableList.of(1L, KEY, COMMON_KEY), 0);

    assertTrue(isRefused(register, ImmutableList.of(1L, KEY, COMMON_KEY), 3 * SECOND));
    assertTrue(register.judge(ImmutableList.of(2L, KEY, COMMON_KEY), 3 * SECOND).isProbe());
  }

  /** Guards against a probe that is never repeated because its request was cancelled. */
  @Test
  public void probeWithoutOutcomeIsRepeated() {
    crashTogether(register, ImmutableList.of(COMMON_KEY, KEY), 0);
    register.probeSent(ImmutableList.of(COMMON_KEY), 3 * SECOND);

    assertTrue(isRefused(register, COMMON_KEY, 4 * SECOND - 1));
    assertFalse(isRefused(register, COMMON_KEY, 4 * SECOND));
  }

  /** Guards against a sound key that is refused once its crashes are older than those kept. */
  @Test
  public void keyStaysExplainedWhenTheOtherHasMoreCrashesThanAreKept() {
    crashTogether(register, ImmutableList.of(COMMON_KEY, KEY), 0);
    for (int i = 3; i < 14; i++) {
      crash(register, KEY, "u" + i, i * SECOND);
    }

    assertEquals(register.suspicion(COMMON_KEY, 14 * SECOND), Suspicion.EXPLAINED);
  }

  private static void loseManyUpstreams(CrashRegister target, long atNanos) {
    for (int i = 0; i < 20_000; i++) {
      crash(target, 1_000L + i, "lost" + i / 40, atNanos);
    }
  }

  /** Guards against accepting again what is refused, because there is no room to know it. */
  @Test
  public void refusedKeyOutlastsTheKeysOfManyLostUpstreams() {
    for (int i = 0; i < 3; i++) {
      crash(register, KEY, "u" + i, i * SECOND);
    }

    loseManyUpstreams(register, 4 * SECOND);

    assertTrue(isRefused(register, KEY, 5 * SECOND));
  }

  /** Guards against counting from the start again after many upstreams were lost. */
  @Test
  public void keyWithTwoCrashesOutlastsTheKeysOfManyLostUpstreams() {
    crash(register, KEY, "a", 0);
    crash(register, KEY, "b", SECOND);

    loseManyUpstreams(register, 2 * SECOND);
    crash(register, KEY, "c", 3 * SECOND);

    assertTrue(isRefused(register, KEY, 3 * SECOND));
  }

  /** Guards against refusing a key for crashes that have nothing to do with each other. */
  @Test
  public void crashesOfDifferentHoursDoNotCountTogether() {
    for (int i = 0; i < 3; i++) {
      crash(register, KEY, "u" + i, i * 3_600L * SECOND);
    }

    assertFalse(isRefused(register, KEY, 2 * 3_600L * SECOND));
  }

  private static void tell(CrashRegister from, CrashRegister to, int reports, long nowNanos) {
    for (int i = 0; i < reports; i++) {
      to.reported(from.reports(nowNanos), nowNanos);
    }
  }

  /** Guards against crashes that only nodes know which are replaced one after another. */
  @Test
  public void nodeStartedLaterLearnsOfCrashesThatAreNoNews() {
    crash(peer, KEY, "a", 0);
    crash(peer, KEY, "b", SECOND);
    tell(peer, new CrashRegister(), 1, 2 * SECOND);

    tell(peer, register, 2, 30 * SECOND);
    crash(register, KEY, "c", 31 * SECOND);

    assertTrue(isRefused(register, KEY, 31 * SECOND));
  }

  /** Guards against refusing sound requests because there is no room to tell of their answers. */
  @Test
  public void answersAreToldBesideManyCrashes() {
    for (int i = 0; i < 3; i++) {
      crash(register, KEY, "u" + i, i * SECOND);
    }
    for (int i = 0; i < 60; i++) {
      crash(peer, 1_000L + i, "a", SECOND);
      crash(peer, 1_000L + i, "b", 2 * SECOND);
    }
    tell(register, peer, 1, 3 * SECOND);
    peer.answered(ImmutableList.of(KEY), 4 * SECOND);

    tell(peer, register, 4, 4 * SECOND);

    assertFalse(isRefused(register, KEY, 4 * SECOND));
  }

  /** Guards against a crash that is never told because others were told of by other nodes. */
  @Test
  public void crashSeenHereIsToldBeforeThoseSeenElsewhere() {
    for (int i = 0; i < 20; i++) {
      CrashRegister third = new CrashRegister();
      for (int j = 0; j < 30; j++) {
        crash(third, 1_000L + 30L * i + j, "a" + i, SECOND);
      }
      tell(third, peer, 1, SECOND);
    }
    crash(peer, KEY, "b", SECOND);

    assertTrue(peer.reports(SECOND).stream().anyMatch(report -> report.key() == KEY));
  }

  /** Guards against a faulty upstream that has content accepted again which it did not run. */
  @Test
  public void failuresOfOneUpstreamDoNotClearAKey() {
    for (int i = 0; i < 3; i++) {
      crash(register, KEY, "u" + i, i * SECOND);
      for (int j = 0; j < 5; j++) {
        register.failed(ImmutableList.of(KEY), "faulty", i * SECOND + j);
        register.failed(ImmutableList.of(KEY), "foreign", i * SECOND + j);
      }
    }

    assertTrue(isRefused(register, KEY, 2 * SECOND));
  }

  /** Guards against refusing content that always fails and lost its upstreams by chance. */
  @Test
  public void failuresOfSeveralUpstreamsClearAKey() {
    crash(register, KEY, "a", 0);
    crash(register, KEY, "b", SECOND);
    for (int i = 0; i < 3; i++) {
      register.failed(ImmutableList.of(KEY), "u" + i, SECOND + i);
    }
    crash(register, KEY, "c", 2 * SECOND);

    assertFalse(isRefused(register, KEY, 2 * SECOND));
  }

  private void crashAgain(CrashRegister target, long connectedNanos, long atNanos) {
    target.crashed(ImmutableList.of(KEY), "a", connectedNanos, atNanos, atNanos);
    tell(register, peer, 1, atNanos);
    tell(peer, register, 1, atNanos);
  }

  /**
   * Guards against counting the crashes of an upstream once that starts again while its
   * registration does not change.
   */
  @Test
  public void crashesOfAnUpstreamThatStartedAgainCountEachTime() {
    crashAgain(register, 0, SECOND);
    crashAgain(peer, 2 * SECOND, 3 * SECOND);
    assertFalse(isRefused(register, KEY, 3 * SECOND));

    crashAgain(register, 4 * SECOND, 5 * SECOND);

    assertTrue(isRefused(register, KEY, 5 * SECOND));
    assertTrue(isRefused(peer, KEY, 5 * SECOND));
  }

  /** Guards against counting one crash twice because a node sees it late, on an old connection. */
  @Test
  public void crashThatIsSeenLateOnAnOldConnectionCountsOnce() {
    crashAgain(register, 0, SECOND);
    crashAgain(peer, SECOND / 2, 2 * SECOND);
    crashAgain(register, SECOND + SECOND / 10, 3 * SECOND);

    assertFalse(isRefused(register, KEY, 3 * SECOND));
  }

  /**
   * Guards against missing a crash, or counting another one, after this node gave an attempt up.
   */
  @Test
  public void crashThatAnotherNodeSawEndsTheConnectionsBeforeIt() {
    peer.crashed(ImmutableList.of(KEY), "a", 0, 5 * SECOND, 5 * SECOND);
    tell(peer, register, 1, 5 * SECOND);

    assertTrue(register.hasCrashed("a", SECOND, 5 * SECOND - SECOND / 2));
    assertFalse(register.hasCrashed("a", 6 * SECOND, 6 * SECOND));
    assertFalse(register.hasCrashed("a", SECOND, 7 * SECOND));
    assertFalse(register.hasCrashed("b", SECOND, 4 * SECOND));
  }
}

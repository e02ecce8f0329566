package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Copies of a request that crash several upstreams at about the same moment. */
public final class CrashedCopiesTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long KEY = 42;
  private static final int COPIES = 4;

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
    return target.judge(ImmutableList.of(key), nowNanos).refusalNanos() > 0;
  }

  /** Registers upstreams in two domains, all connected, and has copies of a request crash some. */
  private void crashCopies() {
    for (int i = 0; i < 2 * COPIES; i++) {
      String domain = i % 2 == 0 ? "east" : "west";
      for (CrashRegister each : List.of(register, peer)) {
        each.registered("u" + i, domain);
        each.survived("u" + i, domain, 0, SECOND);
      }
    }
    for (int i = 0; i < COPIES; i++) {
      crash(i % 2 == 0 ? register : peer, KEY, "u" + i, 2 * SECOND + i);
    }
  }

  private void exchangeReports(long nowNanos) {
    register.reported(peer.reports(nowNanos), nowNanos);
    peer.reported(register.reports(nowNanos), nowNanos);
    register.survivedElsewhere(peer.survivedCrashes(nowNanos));
    peer.survivedElsewhere(register.survivedCrashes(nowNanos));
  }

  /** Has an upstream of each domain answer that was not crashed, on a connection from before. */
  private void answerFromSurvivors(long connectedNanos, long nowNanos) {
    for (CrashRegister each : List.of(register, peer)) {
      each.survived("u" + COPIES, "east", connectedNanos, nowNanos);
      each.survived("u" + (COPIES + 1), "west", connectedNanos, nowNanos);
    }
  }

  /** Guards against copies of a request that crash several upstreams at once and count once. */
  @Test
  public void copiesThatCrashUpstreamsAtOnceCountEach() {
    crashCopies();
    exchangeReports(3 * SECOND);
    review(3 * SECOND);
    assertFalse(isRefused(register, KEY, 3 * SECOND));

    answerFromSurvivors(0, 3 * SECOND);
    review(4 * SECOND);
    // Later answers come on new connections, which shows nothing any more.
    answerFromSurvivors(20 * SECOND, 21 * SECOND);
    review(22 * SECOND);

    assertTrue(isRefused(register, KEY, 22 * SECOND));
    assertTrue(isRefused(peer, KEY, 22 * SECOND));
  }

  private void review(long nowNanos) {
    register.review(nowNanos);
    peer.review(nowNanos);
  }

  /** Guards against counting copies once since no node heard from each failure domain itself. */
  @Test
  public void survivorsThatDifferentNodesSawCount() {
    crashCopies();
    exchangeReports(3 * SECOND);
    register.survived("u" + COPIES, "east", 0, 3 * SECOND);
    peer.survived("u" + (COPIES + 1), "west", 0, 3 * SECOND);
    review(4 * SECOND);
    assertFalse(isRefused(register, KEY, 4 * SECOND));

    exchangeReports(4 * SECOND);
    review(4 * SECOND);

    assertTrue(isRefused(register, KEY, 4 * SECOND));
    assertTrue(isRefused(peer, KEY, 4 * SECOND));
  }

  /**
   * Guards against copies that count once since another copy crashed its upstream a while later.
   */
  @Test
  public void copiesCountEachThoughAnotherOneIsLate() {
    crashCopies();
    for (CrashRegister each : List.of(register, peer)) {
      crash(each, KEY, "u" + (COPIES + 2), 2 * SECOND + SECOND / 3);
    }
    exchangeReports(3 * SECOND);
    review(3 * SECOND);
    answerFromSurvivors(0, 3 * SECOND);
    review(4 * SECOND);

    assertTrue(isRefused(register, KEY, 4 * SECOND));
    assertTrue(isRefused(peer, KEY, 4 * SECOND));
  }

  /** Guards against what one node saw getting lost because its neighbour passes nothing on. */
  @Test
  public void survivorsArePassedOn() {
    crashCopies();
    exchangeReports(3 * SECOND);
    answerFromSurvivors(0, 3 * SECOND);
    CrashRegister third = new CrashRegister();
    third.reported(register.reports(3 * SECOND), 3 * SECOND);
    third.survivedElsewhere(register.survivedCrashes(3 * SECOND));

    assertEquals(
        ImmutableSet.copyOf(third.survivedCrashes(3 * SECOND)),
        ImmutableSet.copyOf(register.survivedCrashes(3 * SECOND)));
    assertEquals(third.survivedCrashes(3 * SECOND).size(), COPIES);
  }

  /** Guards against blaming copies of a request for the loss of one of the two domains. */
  @Test
  public void survivorsOfOneDomainSayNothingOfTheOther() {
    crashCopies();
    exchangeReports(3 * SECOND);
    register.survived("u" + COPIES, "east", 0, 3 * SECOND);
    peer.survived("u" + COPIES, "east", 0, 3 * SECOND);
    exchangeReports(4 * SECOND);
    review(4 * SECOND);

    assertFalse(isRefused(register, KEY, 4 * SECOND));
    assertFalse(isRefused(peer, KEY, 4 * SECOND));
  }

  /** Guards against reports that grow with each crash of a long day. */
  @Test
  public void survivorsOfOldCrashesAreNotToldAgain() {
    crashCopies();
    answerFromSurvivors(0, 3 * SECOND);

    assertEquals(register.survivedCrashes(3 * SECOND).size(), COPIES / 2);
    assertEquals(register.survivedCrashes(7 * SECOND), ImmutableList.of());
  }

  /** Guards against an unused connection that hides the answers on another one. */
  @Test
  public void answersOnAnyConnectionFromBeforeShowSurvivors() {
    crashCopies();
    exchangeReports(3 * SECOND);
    answerFromSurvivors(SECOND, 3 * SECOND);
    review(4 * SECOND);

    assertTrue(isRefused(register, KEY, 4 * SECOND));
  }

  /** Guards against taking upstreams that started again after a crash for survivors of it. */
  @Test
  public void upstreamsThatStartedAgainAreNoSurvivors() {
    crashCopies();
    exchangeReports(3 * SECOND);
    answerFromSurvivors(3 * SECOND, 3 * SECOND + SECOND / 2);
    review(4 * SECOND);

    assertFalse(isRefused(register, KEY, 7 * SECOND));
  }

  /** Guards against taking answers from the moment of a crash for answers after it. */
  @Test
  public void answersOnTheirWayShowNoSurvivors() {
    crashCopies();
    exchangeReports(3 * SECOND);
    answerFromSurvivors(0, 2 * SECOND + SECOND / 10);
    review(4 * SECOND);

    assertFalse(isRefused(register, KEY, 4 * SECOND));
  }

  /** Guards against blaming copies of a request that were lost with a part of a domain. */
  @Test
  public void crashesWithoutTheRequestAtTheSameMomentAreACommonCause() {
    crashCopies();
    crash(register, KEY + 1, "u" + (2 * COPIES - 1), 2 * SECOND);
    exchangeReports(3 * SECOND);
    answerFromSurvivors(0, 3 * SECOND);
    review(4 * SECOND);

    assertFalse(isRefused(register, KEY, 4 * SECOND));
  }

  /** Guards against blaming content that is known to run for the loss of its upstreams. */
  @Test
  public void copiesOfAnsweredContentCountOnce() {
    register.answered(ImmutableList.of(KEY), 0);
    crashCopies();
    exchangeReports(3 * SECOND);
    answerFromSurvivors(0, 3 * SECOND);
    review(4 * SECOND);

    assertFalse(isRefused(register, KEY, 4 * SECOND));
  }
}

package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
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
    target.crashed(ImmutableList.of(key), upstream, atNanos, atNanos);
  }

  private static boolean isRefused(CrashRegister target, long key, long nowNanos) {
    return target.refusalNanos(ImmutableList.of(key), nowNanos) > 0;
  }

  /** Guards against a request that crashes upstreams one after another through different nodes. */
  @Test
  public void crashesAtOtherNodesCount() {
    crash(peer, KEY, "a", 0);
    crash(peer, KEY, "b", SECOND);
    crash(register, KEY, "c", 2 * SECOND);
    assertFalse(isRefused(register, KEY, 2 * SECOND));

    assertEquals(register.reported(peer.reports(2 * SECOND), 2 * SECOND), ImmutableList.of(KEY));

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
      register.crashed(ImmutableList.of(KEY, COMMON_KEY), "u" + i, i * SECOND, i * SECOND);
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
}

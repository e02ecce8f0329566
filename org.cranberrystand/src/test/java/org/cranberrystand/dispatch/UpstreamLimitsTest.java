package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.Test;

public final class UpstreamLimitsTest {
  private static final double NONE = Double.POSITIVE_INFINITY;
  private static final RegisteredUpstream UPSTREAM =
      new RegisteredUpstream("u", "llm", "10.0.0.1:80", "d", "v1", 4, 1, 0, false);
  private final UpstreamLimits limits = new UpstreamLimits();

  private static RateLimit limit(String stated) {
    return RateLimit.ofPerSecond(stated);
  }

  /** Guards against lifting a limit because of a response that is older than the limit. */
  @Test
  public void overtakenResponseDoesNotRemoveTheLimit() {
    assertTrue(limits.stated(UPSTREAM, limit("1.6"), 90, 100));
    assertFalse(limits.stated(UPSTREAM, RateLimit.NONE, 95, 110));
    assertEquals(limits.perSecond(UPSTREAM), 1.6);

    assertTrue(limits.stated(UPSTREAM, RateLimit.NONE, 101, 120));
    assertEquals(limits.perSecond(UPSTREAM), NONE);
  }

  /** Guards against an upstream whose limit ends because one response is unreadable. */
  @Test
  public void unusableValueKeepsTheLastLimit() {
    limits.stated(UPSTREAM, limit(" 2 "), 0, 1);
    for (String stated : new String[] {"", "-1", "NaN", "Infinity", "two"}) {
      assertFalse(limits.stated(UPSTREAM, limit(stated), 2, 3), stated);
    }
    assertEquals(limits.perSecond(UPSTREAM), 2.0);
  }

  /** Guards against an outdated report of another node that brings a limit back, or ends it. */
  @Test
  public void newestStatementOfAllNodesHolds() {
    long second = TimeUnit.SECONDS.toNanos(1);
    limits.stated(UPSTREAM, limit("3"), 0, 10 * second);
    assertFalse(limits.reported(new UpstreamLimits.Report("u@1", 5, 2 * second), 11 * second));
    assertTrue(limits.reported(new UpstreamLimits.Report("u@1", NONE, second), 12 * second));
    assertFalse(limits.reported(new UpstreamLimits.Report("u@1", 3, 3 * second), 13 * second));
    assertEquals(limits.perSecond(UPSTREAM), NONE);
    assertEquals(limits.reports(13 * second).get(0).ageNanos(), 2 * second);
  }
}

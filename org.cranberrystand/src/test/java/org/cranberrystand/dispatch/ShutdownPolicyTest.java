package org.cranberrystand.dispatch;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class ShutdownPolicyTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long STOP = 8 * SECOND;
  private static final String ROUTE = "route";

  private ShutdownPolicy policy;

  @BeforeMethod
  public void createPolicy() {
    policy = new ShutdownPolicy(0);
  }

  private boolean maySend(long elapsedNanos, long limitNanos, boolean repeatable) {
    return policy.maySend(
        new ShutdownPolicy.Progress(elapsedNanos, STOP - elapsedNanos),
        ROUTE,
        limitNanos,
        repeatable);
  }

  /** Guards against refusing what ends in time, at any moment of the stop. */
  @Test
  public void requestWhoseLimitEndsBeforeTheNodeIsSent() {
    assertTrue(maySend(0, STOP, false));
    assertTrue(maySend(5 * SECOND, 3 * SECOND, false));
    assertFalse(maySend(5 * SECOND, 3 * SECOND + 1, false));
  }

  /** Guards against cutting what cannot be repeated. */
  @Test
  public void longRequestThatRunsOnceIsSentOnlyIfItsRouteIsFast() {
    assertFalse(maySend(0, 15 * SECOND, false));

    policy.answered(ROUTE, 6 * SECOND, SECOND);
    policy.answered(ROUTE, 2 * SECOND, 2 * SECOND);

    assertTrue(maySend(2 * SECOND, 15 * SECOND, false));
    assertFalse(maySend(2 * SECOND + 1, 15 * SECOND, false));
    assertFalse(policy.maySend(new ShutdownPolicy.Progress(0, STOP), "other", STOP + 1, false));
  }

  /** Guards against refusing for ever because one request was slow. */
  @Test
  public void slowRequestIsForgotten() {
    policy.answered(ROUTE, 20 * SECOND, SECOND);
    policy.answered(ROUTE, SECOND, 31 * SECOND);
    assertFalse(maySend(0, 15 * SECOND, false));

    policy.answered(ROUTE, SECOND, 62 * SECOND);

    assertTrue(maySend(0, 15 * SECOND, false));
  }

  /** Guards against refusing streams that another node can continue while callers still come. */
  @Test
  public void longRequestThatMayBeRepeatedIsSentAtFirst() {
    assertTrue(maySend(2 * SECOND, 15 * SECOND, true));
    assertFalse(maySend(3 * SECOND, 15 * SECOND, true));
  }
}

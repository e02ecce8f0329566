package org.cranberrystand.daemon.gateway;

import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.CallSpec;
import org.cranberrystand.dispatch.RetryAllowance;
import org.cranberrystand.routing.Route;

/** Decides whether one request may be sent to a further upstream. Used only on the event loop. */
final class RelayRetries {
  /** With more attempts that upstreams refuse or that fail to connect, the node gives up. */
  private static final int MAX_ATTEMPTS_WITHOUT_RUN = 4;

  /** With less time left, a retry would not finish before the deadline. */
  private static final long MIN_RETRY_MILLIS = 50;

  private final RetryAllowance<String> allowance;
  private final Route route;
  private final CallSpec spec;
  private final RelayAttempts attempts;
  private final RequestContent content;
  private final CallerResponse response;
  private int attemptsWithoutRun;

  RelayRetries(
      RetryAllowance<String> allowance,
      Route route,
      CallSpec spec,
      RelayAttempts attempts,
      RequestContent content,
      CallerResponse response) {
    this.allowance = allowance;
    this.route = route;
    this.spec = spec;
    this.attempts = attempts;
    this.content = content;
    this.response = response;
  }

  /** Returns whether a request that may have run may be sent to another upstream. */
  boolean mayRepeat() {
    return isWithinLimits() && content.mayRepeat(attempts.current());
  }

  /**
   * Returns whether a request may be sent to another upstream, but not before it is known whether
   * the last one crashed.
   */
  boolean waitForCheck() {
    return !attempts.current().hasSurvivedStart() && mayRepeat();
  }

  private boolean isWithinLimits() {
    // Without the identifier of the last event, another attempt would restart the stream.
    boolean resumable = !response.isStarted() || response.lastEventId() != null;
    long remainingNanos = spec.deadlineNanos() - System.nanoTime();
    return route.isRetryable()
        && resumable
        // Another node may have sent the request to as many upstreams as allowed.
        && !attempts.isAtNode()
        && attempts.runCount() < route.maxAttempts()
        && TimeUnit.NANOSECONDS.toMillis(remainingNanos) > MIN_RETRY_MILLIS;
  }

  /** Takes a retry from the allowance for a request that may have run, if it may be repeated. */
  boolean tryAcquire() {
    return mayRepeat() && allowance.tryAcquire(spec.pool());
  }

  /**
   * Takes a retry for a request that was allowed to be repeated before it was checked whether its
   * upstream crashed.
   */
  boolean tryAcquireAfterCheck() {
    return isWithinLimits() && allowance.tryAcquire(spec.pool());
  }

  /** Takes a retry for a request that certainly did not run; it is free if nothing was sent. */
  boolean tryAcquireNotRun(boolean sent) {
    attemptsWithoutRun++;
    return attemptsWithoutRun <= MAX_ATTEMPTS_WITHOUT_RUN
        && (!sent || allowance.tryAcquire(spec.pool()));
  }
}

package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.daemon.internal.EventLog;
import org.cranberrystand.dispatch.ShutdownPolicy;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.routing.Route;

/**
 * The graceful shutdown of a gateway. Used only on the event loop, except where stated.
 *
 * <p>Callers with a cached list of addresses keep sending requests for some time. Those that end
 * before the process does are still served, the others are refused. Once no request is in progress,
 * no connection is accepted any more, and each open one is served until it ends; the process ends
 * after the last one. When the time limit is reached, each request that is left gets its final
 * answer first.
 */
final class GatewayShutdown {
  /** By this time most callers have fetched a new list of addresses. */
  private static final long CLOSE_IDLE_AFTER_MILLIS = 1_500;

  private static final long MIN_DURATION_MILLIS = 3_200;

  /** Part of the time limit that is reserved for the exit of the process. */
  private static final long EXIT_RESERVE_MILLIS = 500;

  /** Time for callers to receive the final answers. */
  private static final long FINAL_ANSWER_MILLIS = 250;

  private static final long CHECK_INTERVAL_MILLIS = 100;

  private final EventLoop loop;
  private final CallerServer callers;
  private final Admission admission;
  private final long maxDurationMillis;
  private final Runnable leavingAnnouncement;
  private final EventLog log;
  private final ShutdownPolicy policy = new ShutdownPolicy(System.nanoTime());
  private volatile boolean started;
  private long startNanos;
  private Runnable finished;

  GatewayShutdown(
      EventLoop loop,
      CallerServer callers,
      Admission admission,
      long maxDurationMillis,
      Runnable leavingAnnouncement,
      EventLog log) {
    this.loop = loop;
    this.callers = callers;
    this.admission = admission;
    this.maxDurationMillis = maxDurationMillis;
    this.leavingAnnouncement = leavingAnnouncement;
    this.log = log;
  }

  /** Returns whether the shutdown was started; may be called on any thread. */
  boolean isStarted() {
    return started;
  }

  /** Records that a request was answered. */
  void answered(Route route, long elapsedNanos) {
    policy.answered(route.name(), elapsedNanos, System.nanoTime());
  }

  /**
   * Returns whether a request may be sent to an upstream.
   *
   * @param route the route
   * @param deadlineNanos when the request gets an answer in any case
   */
  boolean maySend(Route route, long deadlineNanos) {
    if (!started) {
      return true;
    }
    long now = System.nanoTime();
    long remainingNanos = startNanos + nanos(finalAnswerMillis()) - now;
    return policy.maySend(
        new ShutdownPolicy.Progress(now - startNanos, remainingNanos),
        route.name(),
        deadlineNanos - now,
        route.isRetryable());
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private long endMillis() {
    return maxDurationMillis - EXIT_RESERVE_MILLIS;
  }

  private long finalAnswerMillis() {
    return endMillis() - FINAL_ANSWER_MILLIS;
  }

  /**
   * Starts the shutdown.
   *
   * @param requestedNanos when it was requested
   * @param onFinished called when no caller is connected any more and the gateway may be closed
   */
  void start(long requestedNanos, Runnable onFinished) {
    if (started) {
      return;
    }
    startNanos = requestedNanos;
    started = true;
    finished = onFinished;
    callers.startClosingConnections();
    leavingAnnouncement.run();
    check();
  }

  private void check() {
    long elapsedMillis = elapsedMillis();
    if (elapsedMillis > CLOSE_IDLE_AFTER_MILLIS) {
      callers.closeIdle();
    }
    admission.refuseLate();
    if (elapsedMillis >= finalAnswerMillis()) {
      admission.endAll();
      callers.refusePending();
    }
    boolean idle = admission.activeRequestCount() == 0 && !callers.hasUnsentResponses();
    if (idle && elapsedMillis > MIN_DURATION_MILLIS) {
      // From here on, the number of connections only falls.
      callers.stopListening();
    }
    boolean drained = idle && callers.isDrained();
    if (drained || elapsedMillis >= endMillis()) {
      finish(drained, elapsedMillis);
    } else {
      long untilMillis = elapsedMillis < finalAnswerMillis() ? finalAnswerMillis() : endMillis();
      loop.schedule(
              this::check,
              Math.min(CHECK_INTERVAL_MILLIS, untilMillis - elapsedMillis),
              TimeUnit.MILLISECONDS)
          .isDone();
    }
  }

  /** Closes what is left in the same turn of the loop, so that no request is read in between. */
  private void finish(boolean drained, long elapsedMillis) {
    log.write(
        LogEvent.CALLERS_CLOSED,
        "drained="
            + drained
            + " elapsed_ms="
            + elapsedMillis
            + " connections="
            + callers.connectionCount()
            + " in_progress="
            + callers.inProgressCount());
    callers.closeAll();
    finished.run();
  }
}

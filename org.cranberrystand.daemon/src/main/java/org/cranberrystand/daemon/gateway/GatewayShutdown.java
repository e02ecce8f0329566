package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The graceful shutdown of a gateway. Used only on the event loop, except where stated.
 *
 * <p>Callers with a cached list of addresses keep sending requests for some time, which are still
 * served. Requests after that could outlast the process and are refused.
 */
final class GatewayShutdown {
  /** By this time most callers have fetched a new list of addresses. */
  private static final long CLOSE_IDLE_AFTER_MILLIS = 1_500;

  /** Requests that arrive later might not finish before the process is killed. */
  private static final long REFUSE_AFTER_MILLIS = 3_000;

  private static final long MIN_DURATION_MILLIS = 3_200;

  /** Part of the time limit that is reserved for the exit of the process. */
  private static final long EXIT_RESERVE_MILLIS = 500;

  private static final long CHECK_INTERVAL_MILLIS = 100;

  private final EventLoop loop;
  private final CallerServer callers;
  private final Admission admission;
  private final long maxDurationMillis;
  private final Runnable leavingAnnouncement;
  private volatile boolean started;
  private long startNanos;
  private Runnable finished;

  GatewayShutdown(
      EventLoop loop,
      CallerServer callers,
      Admission admission,
      long maxDurationMillis,
      Runnable leavingAnnouncement) {
    this.loop = loop;
    this.callers = callers;
    this.admission = admission;
    this.maxDurationMillis = maxDurationMillis;
    this.leavingAnnouncement = leavingAnnouncement;
  }

  /** Returns whether the shutdown was started; may be called on any thread. */
  boolean isStarted() {
    return started;
  }

  /** Returns whether new requests are refused. */
  boolean isRefusingRequests() {
    return started && elapsedMillis() > REFUSE_AFTER_MILLIS;
  }

  private long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /**
   * Starts the shutdown.
   *
   * @param onFinished called when the gateway may be closed
   */
  void start(Runnable onFinished) {
    if (started) {
      return;
    }
    startNanos = System.nanoTime();
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
    boolean idle =
        elapsedMillis > MIN_DURATION_MILLIS
            && admission.activeRequestCount() == 0
            && !callers.hasUnsentResponses();
    if (idle || elapsedMillis > maxDurationMillis - EXIT_RESERVE_MILLIS) {
      finished.run();
    } else {
      loop.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS).isDone();
    }
  }
}

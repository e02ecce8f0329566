package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The graceful shutdown of a gateway. Used on the event loop only, except where stated.
 *
 * <p>Callers that keep an old list of addresses go on to send for a time and are served. Later
 * requests could not end before the process is killed and are refused.
 */
final class GatewayShutdown {
  /** After this most callers have a new list of addresses. */
  private static final long CLOSE_IDLE_MILLIS = 1_500;

  /** Requests that come later may outlast the process. */
  private static final long REFUSE_MILLIS = 3_000;

  private static final long MIN_MILLIS = 3_200;

  /** Time left for the exit of the process. */
  private static final long EXIT_MILLIS = 500;

  private static final long CHECK_MILLIS = 100;

  private final EventLoop loop;
  private final CallerServer callers;
  private final Admission admission;
  private final long limitMillis;
  private final Runnable announcement;
  private volatile boolean leaving;
  private long startNanos;
  private Runnable finished;

  GatewayShutdown(
      EventLoop loop,
      CallerServer callers,
      Admission admission,
      long limitMillis,
      Runnable announcement) {
    this.loop = loop;
    this.callers = callers;
    this.admission = admission;
    this.limitMillis = limitMillis;
    this.announcement = announcement;
  }

  /** Returns whether the shutdown was started; may be called on any thread. */
  boolean isLeaving() {
    return leaving;
  }

  /** Returns whether new requests are refused. */
  boolean isRefusing() {
    return leaving && elapsedMillis() > REFUSE_MILLIS;
  }

  private long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /**
   * Starts the shutdown.
   *
   * @param onFinished called when the process may end
   */
  void start(Runnable onFinished) {
    if (leaving) {
      return;
    }
    startNanos = System.nanoTime();
    leaving = true;
    finished = onFinished;
    callers.startClosing();
    announcement.run();
    check();
  }

  private void check() {
    long elapsed = elapsedMillis();
    if (elapsed > CLOSE_IDLE_MILLIS) {
      callers.closeIdle();
    }
    boolean idle = elapsed > MIN_MILLIS && admission.activeCount() == 0;
    if (idle || elapsed > limitMillis - EXIT_MILLIS) {
      finished.run();
    } else {
      loop.schedule(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS).isDone();
    }
  }
}

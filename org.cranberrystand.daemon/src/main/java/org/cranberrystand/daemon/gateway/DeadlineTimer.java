package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Ends a request at its deadline. Used only on the event loop. */
final class DeadlineTimer {
  /**
   * Upstreams stop at the deadline by themselves; this is the time for their response to arrive.
   */
  private static final long MARGIN_MILLIS = 150;

  /** The request that is ended. */
  interface Watched {
    boolean isAtUpstream();

    void deadlinePassed();
  }

  private final EventLoop loop;
  private final long deadlineNanos;
  private final Watched watched;
  private ScheduledFuture<?> future;

  DeadlineTimer(EventLoop loop, long deadlineNanos, Watched watched) {
    this.loop = loop;
    this.deadlineNanos = deadlineNanos;
    this.watched = watched;
  }

  void start() {
    schedule(Math.max(0, deadlineNanos - System.nanoTime()));
  }

  void cancel() {
    if (future != null) {
      future.cancel(false);
    }
  }

  private void schedule(long delayNanos) {
    future = loop.schedule(this::check, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void check() {
    long marginNanos = TimeUnit.MILLISECONDS.toNanos(MARGIN_MILLIS);
    if (watched.isAtUpstream() && System.nanoTime() - deadlineNanos < marginNanos) {
      schedule(marginNanos);
    } else {
      watched.deadlinePassed();
    }
  }
}

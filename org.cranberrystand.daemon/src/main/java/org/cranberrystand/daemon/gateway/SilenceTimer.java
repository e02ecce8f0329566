package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Watches the silence of the upstream to which a request was sent. Used only on the event loop. */
final class SilenceTimer {
  /** Interval at which a silent request looks for another upstream with a free slot. */
  private static final long MOVE_RETRY_MILLIS = 100;

  /** The request that is watched. */
  interface Watched {
    /** Returns how long the upstream has been silent; -1 if the request is not at an upstream. */
    long silentMillis();

    /** Returns the allowed silence. */
    long silenceLimitMillis();

    /** Sends the request elsewhere if that is possible now. */
    boolean tryMove(long silentMillis);
  }

  private final EventLoop loop;
  private final Watched watched;
  private ScheduledFuture<?> future;

  SilenceTimer(EventLoop loop, Watched watched) {
    this.loop = loop;
    this.watched = watched;
  }

  void start() {
    cancel();
    schedule(watched.silenceLimitMillis());
  }

  void cancel() {
    if (future != null) {
      future.cancel(false);
      future = null;
    }
  }

  private void schedule(long delayMillis) {
    future = loop.schedule(this::check, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void check() {
    long silentMillis = watched.silentMillis();
    long limitMillis = silentMillis < 0 ? 0 : watched.silenceLimitMillis();
    if (silentMillis < 0) {
      return;
    }
    if (silentMillis < limitMillis) {
      schedule(limitMillis - silentMillis);
    } else if (!watched.tryMove(silentMillis)) {
      // Until another upstream has a slot, the silent one may still respond.
      schedule(MOVE_RETRY_MILLIS);
    }
  }
}

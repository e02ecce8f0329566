package org.cranberrystand.daemon.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Finds out whether callers are still there whose requests may have waited in their sockets while
 * the event loop lagged.
 *
 * <p>The end of a connection waits behind the request and is read by a later turn of the loop. Used
 * only on the event loop.
 */
final class PresenceCheck {
  private final EventLoop loop;
  private int pendingCount;

  PresenceCheck(EventLoop loop) {
    this.loop = loop;
  }

  /** Watches a caller until its request is taken over. */
  private static final class Presence implements CallerExchange.Listener {
    private boolean disconnected;

    @Override
    public void callerDisconnected() {
      disconnected = true;
    }

    @Override
    public void writabilityChanged(boolean writable) {
      // Nothing is sent yet.
    }
  }

  /** Handles a request after the loop has read its sockets again, unless the caller has left. */
  void run(CallerExchange exchange, Runnable handler) {
    Presence caller = new Presence();
    exchange.setListener(caller);
    pendingCount++;
    // What a task schedules runs in the next turn, after that has read the sockets.
    loop.execute(
        () -> loop.schedule(() -> finish(caller, handler), 0, TimeUnit.NANOSECONDS).isDone());
  }

  private void finish(Presence caller, Runnable handler) {
    pendingCount--;
    if (!caller.disconnected) {
      handler.run();
    }
  }

  /** Returns the number of requests that are not handled yet. */
  int pendingCount() {
    return pendingCount;
  }
}

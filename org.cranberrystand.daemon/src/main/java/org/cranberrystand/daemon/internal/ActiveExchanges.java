package org.cranberrystand.daemon.internal;

import java.util.concurrent.atomic.AtomicInteger;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Counts the exchanges whose answer is not complete yet, so that a leaving node can wait for them.
 *
 * <p>Safe for use by several threads.
 */
public final class ActiveExchanges implements Handler {
  private static final String REQUESTS = "v1/requests/";
  private static final String STREAMS = "v1/streams/";
  private static final String FORWARD = "peer/v1/forward/";
  private static final String HANDOVER = "peer/v1/handover/";

  private final AtomicInteger active = new AtomicInteger();

  @Override
  public void handle(Context ctx) {
    String path = ctx.getRequest().getPath();
    boolean counted =
        path.startsWith(REQUESTS)
            || path.startsWith(STREAMS)
            || path.startsWith(FORWARD)
            || path.startsWith(HANDOVER);
    if (counted) {
      active.incrementAndGet();
      ctx.onClose(outcome -> active.decrementAndGet());
    }
    ctx.next();
  }

  /**
   * Returns the number of exchanges in progress.
   *
   * @return requests, resumed streams, and requests passed on by other nodes
   */
  public int count() {
    return active.get();
  }
}

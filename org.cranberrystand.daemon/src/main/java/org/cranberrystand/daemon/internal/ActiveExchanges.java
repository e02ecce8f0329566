package org.cranberrystand.daemon.internal;

import java.util.concurrent.atomic.AtomicInteger;
import ratpack.handling.Context;
import ratpack.handling.Handler;

/**
 * Counts the HTTP exchanges in progress, so that a leaving node can wait for their completion.
 *
 * <p>Safe for use by several threads.
 */
public final class ActiveExchanges implements Handler {
  private static final String REQUESTS_PATH = "v1/requests/";
  private static final String STREAMS_PATH = "v1/streams/";
  private static final String FORWARD_PATH = "peer/v1/forward/";
  private static final String HANDOVER_PATH = "peer/v1/handover/";

  private final AtomicInteger activeCount = new AtomicInteger();

  @Override
  public void handle(Context ctx) {
    String path = ctx.getRequest().getPath();
    boolean isCounted =
        path.startsWith(REQUESTS_PATH)
            || path.startsWith(STREAMS_PATH)
            || path.startsWith(FORWARD_PATH)
            || path.startsWith(HANDOVER_PATH);
    if (isCounted) {
      activeCount.incrementAndGet();
      ctx.onClose(outcome -> activeCount.decrementAndGet());
    }
    ctx.next();
  }

  /**
   * Returns the number of exchanges in progress.
   *
   * @return the number of requests, resumed streams, and requests forwarded or handed over by other
   *     nodes
   */
  public int count() {
    return activeCount.get();
  }
}

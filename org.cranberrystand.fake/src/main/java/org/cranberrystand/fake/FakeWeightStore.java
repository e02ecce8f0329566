package org.cranberrystand.fake;

import com.google.common.net.HostAndPort;
import com.google.common.util.concurrent.RateLimiter;
import java.util.concurrent.atomic.AtomicInteger;
import ratpack.handling.Context;

/**
 * Fake store of model weights with a rate limit.
 *
 * <p>Answers 429 to reads beyond the limit. Safe for use by several threads.
 */
public final class FakeWeightStore implements AutoCloseable {
  private final FakeServer server;
  private final AtomicInteger servedReads = new AtomicInteger();
  private final AtomicInteger refusedReads = new AtomicInteger();
  private volatile RateLimiter limiter;

  /**
   * Starts a store.
   *
   * @param readsPerSecond the rate limit
   * @throws Exception if the server cannot be started
   */
  public FakeWeightStore(double readsPerSecond) throws Exception {
    this.limiter = RateLimiter.create(readsPerSecond);
    this.server = new FakeServer(chain -> chain.get("v1/weights/:model/:version", this::read));
  }

  public HostAndPort address() {
    return server.address();
  }

  /**
   * Changes the rate limit.
   *
   * @param readsPerSecond the rate limit
   */
  public void setReadsPerSecond(double readsPerSecond) {
    this.limiter = RateLimiter.create(readsPerSecond);
  }

  public int servedCount() {
    return servedReads.get();
  }

  public int refusedCount() {
    return refusedReads.get();
  }

  @Override
  public void close() throws Exception {
    server.close();
  }

  private void read(Context ctx) {
    if (limiter.tryAcquire()) {
      servedReads.incrementAndGet();
      ctx.getResponse().send("weights");
    } else {
      refusedReads.incrementAndGet();
      ctx.getResponse().status(429).send();
    }
  }
}

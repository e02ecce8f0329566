package org.cranberrystand.fake;

import com.google.common.net.HostAndPort;
import com.google.common.util.concurrent.RateLimiter;
import java.util.concurrent.atomic.AtomicInteger;
import ratpack.handling.Context;

/**
 * Store of model weights with a rate limit.
 *
 * <p>Answers 429 beyond its rate. Safe for use by several threads.
 */
public final class FakeWeightStore implements AutoCloseable {
  private final FakeServer server;
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private volatile RateLimiter limiter;

  /**
   * Starts a store.
   *
   * @param readsPerSecond the rate beyond which reads are refused
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
   * @param readsPerSecond the rate beyond which reads are refused
   */
  public void setReadsPerSecond(double readsPerSecond) {
    this.limiter = RateLimiter.create(readsPerSecond);
  }

  public int servedCount() {
    return served.get();
  }

  public int refusedCount() {
    return refused.get();
  }

  @Override
  public void close() throws Exception {
    server.close();
  }

  private void read(Context ctx) {
    if (limiter.tryAcquire()) {
      served.incrementAndGet();
      ctx.getResponse().send("weights");
    } else {
      refused.incrementAndGet();
      ctx.getResponse().status(429).send();
    }
  }
}

package org.cranberrystand.bench.overhead;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.cranberrystand.wire.http.ApiHeaders;

/**
 * Open-loop load generator for one path to an upstream.
 *
 * <p>Latencies count from the planned send time, so that a slow answer does not hide the wait of
 * later requests (coordinated omission). Not thread-safe.
 */
final class LoadGenerator {
  private static final long MAX_LATENCY_NANOS = TimeUnit.SECONDS.toNanos(60);
  private static final double NANOS_PER_MILLI = 1e6;

  private final HttpClient http;
  private final List<URI> targets;
  private final String shop;
  private final String body;
  private final Histogram latencyNanos = new ConcurrentHistogram(MAX_LATENCY_NANOS, 3);
  private final AtomicInteger failedRequests = new AtomicInteger();
  private final AtomicLong sentRequests = new AtomicLong();

  LoadGenerator(HttpClient http, List<URI> targets, String shop, String body) {
    this.http = http;
    this.targets = targets;
    this.shop = shop;
    this.body = body;
  }

  /** Sends requests at a fixed rate and waits for all answers. */
  void run(int requestsPerSecond, int count, boolean recording) {
    Phaser pending = new Phaser(1);
    long startNanos = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long plannedNanos = startNanos + i * TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
      long waitNanos;
      while ((waitNanos = plannedNanos - System.nanoTime()) > 0) {
        LockSupport.parkNanos(waitNanos);
      }
      pending.register();
      CompletableFuture<Void> done =
          send().handle((response, cause) -> record(response, plannedNanos, recording));
      var unused = done.thenRun(pending::arriveAndDeregister);
    }
    pending.arriveAndAwaitAdvance();
  }

  private CompletableFuture<HttpResponse<byte[]>> send() {
    URI target = targets.get((int) (sentRequests.getAndIncrement() % targets.size()));
    HttpRequest request =
        HttpRequest.newBuilder(target)
            .header(ApiHeaders.SHOP, shop)
            .header(ApiHeaders.UPSTREAM_REQUEST_ID, "direct")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
  }

  private Void record(HttpResponse<byte[]> response, long plannedNanos, boolean recording) {
    if (!recording) {
      return null;
    }
    if (response == null || response.statusCode() != 200) {
      failedRequests.incrementAndGet();
    } else {
      latencyNanos.recordValue(Math.min(MAX_LATENCY_NANOS, System.nanoTime() - plannedNanos));
    }
    return null;
  }

  double percentileMillis(double percentile) {
    return latencyNanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
  }

  long answeredCount() {
    return latencyNanos.getTotalCount();
  }

  int failedCount() {
    return failedRequests.get();
  }
}

package org.cranberrystand.fake;

import com.google.common.util.concurrent.ThreadFactoryBuilder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Continuous batching: admits every request as it arrives, and the more run, the slower each is.
 *
 * <p>Safe for use by several threads.
 */
final class EngineBatch implements AutoCloseable {
  // Share of a token gap that each further sequence of the batch adds.
  private static final double SLOWDOWN_PER_SEQUENCE = 0.05;
  private static final int MAX_HISTORY = 100_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Load at one time. */
  record Snapshot(long atNanos, int sequences, long tokens) {}

  private final EngineSpeed speed;
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicLong tokens = new AtomicLong();
  private final Deque<Snapshot> history = new ArrayDeque<>();
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          new ThreadFactoryBuilder().setNameFormat("fake-engine-%d").setDaemon(true).build());
  private volatile double slowdown = 1;
  private volatile long reportLagMillis;

  EngineBatch(EngineSpeed speed) {
    this.speed = speed;
  }

  void setSlowdown(double factor) {
    slowdown = factor;
  }

  void setReportLagMillis(long value) {
    reportLagMillis = value;
  }

  long reportLagMillis() {
    return reportLagMillis;
  }

  void run(EngineStream stream, int promptTokens, int cachedTokens) {
    change(1, promptTokens);
    Duration prefill = speed.prefill(Math.max(0, promptTokens - cachedTokens));
    schedule(() -> step(stream, promptTokens), scaled(prefill.toNanos()));
  }

  /** Returns the load as it was the report lag ago. */
  Snapshot lagging() {
    long atNanos = System.nanoTime() - reportLagMillis * NANOS_PER_MILLI;
    synchronized (history) {
      Snapshot latest = new Snapshot(atNanos, 0, 0);
      for (Snapshot snapshot : history) {
        if (snapshot.atNanos() - atNanos > 0) {
          break;
        }
        latest = snapshot;
      }
      return latest;
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private void step(EngineStream stream, int promptTokens) {
    long gapNanos = scaled(speed.tokenGap().toNanos());
    if (!stream.isEnded()) {
      stream.produce(gapNanos == 0 ? stream.tokens() : 1);
    }
    if (stream.isEnded()) {
      change(-1, -promptTokens);
    } else {
      schedule(() -> step(stream, promptTokens), gapNanos);
    }
  }

  private long scaled(long nanos) {
    return (long) (nanos * slowdown * (1 + SLOWDOWN_PER_SEQUENCE * (running.get() - 1)));
  }

  private void schedule(Runnable task, long delayNanos) {
    if (executor.isShutdown()) {
      return;
    }
    if (delayNanos == 0) {
      executor.execute(task);
    } else {
      var unused = executor.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    }
  }

  private void change(int sequences, long tokenDelta) {
    int nowRunning = running.addAndGet(sequences);
    long nowTokens = tokens.addAndGet(tokenDelta);
    synchronized (history) {
      history.add(new Snapshot(System.nanoTime(), nowRunning, nowTokens));
      if (history.size() > MAX_HISTORY) {
        history.remove();
      }
    }
  }
}

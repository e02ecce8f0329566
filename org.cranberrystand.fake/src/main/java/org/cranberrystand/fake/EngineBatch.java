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
 * Simulates continuous batching: every request starts on arrival, and each further running sequence
 * slows all of them down.
 *
 * <p>Safe for use by several threads.
 */
final class EngineBatch implements AutoCloseable {
  // Relative increase of all times for each further sequence in the batch.
  private static final double SLOWDOWN_PER_SEQUENCE = 0.05;
  private static final int MAX_HISTORY_SNAPSHOTS = 100_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Load of the engine at one time. */
  record LoadSnapshot(long atNanos, int sequences, long tokens) {}

  private final EngineSpeed speed;
  private final AtomicInteger runningSequences = new AtomicInteger();
  private final AtomicLong promptTokensInBatch = new AtomicLong();
  private final Deque<LoadSnapshot> history = new ArrayDeque<>();
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          new ThreadFactoryBuilder().setNameFormat("fake-engine-%d").setDaemon(true).build());
  private volatile double slowdownFactor = 1;
  private volatile long reportLagMillis;

  EngineBatch(EngineSpeed speed) {
    this.speed = speed;
  }

  void setSlowdown(double factor) {
    slowdownFactor = factor;
  }

  void setReportLagMillis(long value) {
    reportLagMillis = value;
  }

  long reportLagMillis() {
    return reportLagMillis;
  }

  void run(EngineStream stream, int promptTokens, int cachedTokens) {
    updateLoad(1, promptTokens);
    Duration prefill = speed.prefillTime(Math.max(0, promptTokens - cachedTokens));
    schedule(() -> generateTokens(stream, promptTokens), scaleNanos(prefill.toNanos()));
  }

  /** Returns the load as it was {@link #reportLagMillis} ago. */
  LoadSnapshot reportedLoad() {
    long atNanos = System.nanoTime() - reportLagMillis * NANOS_PER_MILLI;
    synchronized (history) {
      LoadSnapshot latest = new LoadSnapshot(atNanos, 0, 0);
      for (LoadSnapshot snapshot : history) {
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

  private void generateTokens(EngineStream stream, int promptTokens) {
    long gapNanos = scaleNanos(speed.tokenGap().toNanos());
    if (!stream.isEnded()) {
      stream.produce(gapNanos == 0 ? stream.totalTokens() : 1);
    }
    if (stream.isEnded()) {
      updateLoad(-1, -promptTokens);
    } else {
      schedule(() -> generateTokens(stream, promptTokens), gapNanos);
    }
  }

  private long scaleNanos(long nanos) {
    return (long)
        (nanos * slowdownFactor * (1 + SLOWDOWN_PER_SEQUENCE * (runningSequences.get() - 1)));
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

  private void updateLoad(int sequenceDelta, long tokenDelta) {
    int newSequences = runningSequences.addAndGet(sequenceDelta);
    long newTokens = promptTokensInBatch.addAndGet(tokenDelta);
    synchronized (history) {
      history.add(new LoadSnapshot(System.nanoTime(), newSequences, newTokens));
      if (history.size() > MAX_HISTORY_SNAPSHOTS) {
        history.remove();
      }
    }
  }
}

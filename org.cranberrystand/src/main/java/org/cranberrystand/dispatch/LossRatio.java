package org.cranberrystand.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * How many requests of a node were lost with their upstreams lately, compared with the answers. Not
 * thread-safe.
 *
 * <p>It shows how likely it is that what several lost requests have in common did not crash their
 * upstreams. A stream counts as answered at its start and at its end.
 */
final class LossRatio {
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Bounds the memory; of more losses the oldest are forgotten. */
  private static final int MAX_LOSSES = 1_024;

  private record Loss(int crash, long atNanos) {}

  private static final class Bucket {
    private final long startNanos;
    private int answeredCount;

    Bucket(long startNanos) {
      this.startNanos = startNanos;
    }
  }

  private final Deque<Loss> losses = new ArrayDeque<>();
  private final Deque<Bucket> buckets = new ArrayDeque<>();

  /** Records an answer to a request. */
  void answered(long nowNanos) {
    if (buckets.isEmpty() || nowNanos - buckets.getLast().startNanos >= BUCKET_NANOS) {
      buckets.addLast(new Bucket(nowNanos));
    }
    buckets.getLast().answeredCount++;
    removeOld(nowNanos);
  }

  /** Records that a request was lost with the crash of an upstream. */
  void lost(int crash, long nowNanos) {
    losses.addLast(new Loss(crash, nowNanos));
    if (losses.size() > MAX_LOSSES) {
      losses.removeFirst();
    }
    removeOld(nowNanos);
  }

  private void removeOld(long nowNanos) {
    while (!losses.isEmpty() && nowNanos - losses.getFirst().atNanos >= WINDOW_NANOS) {
      losses.removeFirst();
    }
    while (!buckets.isEmpty() && nowNanos - buckets.getFirst().startNanos >= WINDOW_NANOS) {
      buckets.removeFirst();
    }
  }

  /**
   * Returns the share of lost requests, leaving out those that were lost in some crashes.
   *
   * @param leftOut the identities of the crashes
   * @param nowNanos the current time
   * @return from 0 to 1; 0 if no other request was lost
   */
  double without(Set<Integer> leftOut, long nowNanos) {
    removeOld(nowNanos);
    long lost = losses.stream().filter(loss -> !leftOut.contains(loss.crash)).count();
    long answered = buckets.stream().mapToLong(bucket -> bucket.answeredCount).sum();
    return lost == 0 ? 0 : (double) lost / (lost + answered);
  }
}

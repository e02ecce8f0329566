package org.cranberrystand.dispatch;

/** Requests sent a second, over the last second. Not thread-safe. */
final class SendRate {
  private static final int BUCKETS = 10;
  private static final long BUCKET_NANOS = 100_000_000L;

  /** Keeps estimates finite while nothing was sent. */
  private static final double MIN_PER_SECOND = 1;

  private final int[] counts = new int[BUCKETS];
  private long bucket;

  void sent(long nowNanos) {
    advance(nowNanos);
    counts[(int) Math.floorMod(bucket, (long) BUCKETS)]++;
  }

  double perSecond(long nowNanos) {
    advance(nowNanos);
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return Math.max(MIN_PER_SECOND, sum);
  }

  private void advance(long nowNanos) {
    long current = Math.floorDiv(nowNanos, BUCKET_NANOS);
    long steps = Math.min(BUCKETS, current - bucket);
    for (long i = 1; i <= steps; i++) {
      counts[(int) Math.floorMod(current - steps + i, (long) BUCKETS)] = 0;
    }
    bucket = Math.max(bucket, current);
  }
}

package org.cranberrystand.dispatch;

/** Number of requests sent during the last second. Not thread-safe. */
final class SendRate {
  private static final int BUCKET_COUNT = 10;
  private static final long BUCKET_NANOS = 100_000_000L;

  /** Keeps estimates that divide by the rate finite while nothing is sent. */
  private static final double MIN_PER_SECOND = 1;

  private final int[] counts = new int[BUCKET_COUNT];
  private long bucket;

  void sent(long nowNanos) {
    advance(nowNanos);
    counts[(int) Math.floorMod(bucket, (long) BUCKET_COUNT)]++;
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
    long steps = Math.min(BUCKET_COUNT, current - bucket);
    for (long i = 1; i <= steps; i++) {
      counts[(int) Math.floorMod(current - steps + i, (long) BUCKET_COUNT)] = 0;
    }
    bucket = Math.max(bucket, current);
  }
}

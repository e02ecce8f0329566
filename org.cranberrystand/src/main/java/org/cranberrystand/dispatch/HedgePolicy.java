package org.cranberrystand.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Decides after which delay a second attempt of a request, a hedge, may be sent, and how many.
 *
 * <p>The delay is a high percentile of the response times of the pool, as this node has observed
 * them. The share of hedged requests is limited per pool. All times are nanoseconds of the node's
 * monotonic clock. Designed for a few hundred requests per second on one node and a few dozen
 * pools; a pool takes about 15 KB. Not thread-safe.
 */
public final class HedgePolicy {
  /** The delay of a request that must not be hedged. */
  public static final long NEVER = Long.MAX_VALUE;

  /** The highest share that operators may set. */
  public static final double MAX_SHARE = 0.1;

  /** A larger share does not lower the percentile: hedges are for the slowest responses only. */
  private static final double MIN_PERCENTILE = 95;

  /** Samples that must be above the percentile, because fewer make it vary too much. */
  private static final double MIN_SAMPLES_ABOVE = 5;

  /** Below this delay, the lag of the event loop accounts for much of a response time. */
  private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** Samples are kept for one to two of these periods. */
  private static final long GENERATION_NANOS = TimeUnit.SECONDS.toNanos(60);

  private static final long PERCENTILE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final long SAMPLE_UNIT_NANOS = 100_000;
  private static final int MAX_SAMPLE_UNITS = 600_000;
  private static final int SIGNIFICANT_DIGITS = 2;

  private static final int BUCKET_COUNT = 30;
  private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final double maxShare;
  private final double percentile;
  private final long minSamples;
  private final Map<String, Pool> pools = new HashMap<>();

  /**
   * Creates a policy without samples.
   *
   * @param maxShare the highest share of requests that are hedged, from 0 (none) to {@link
   *     #MAX_SHARE}
   * @throws IllegalArgumentException if the share is out of range
   */
  public HedgePolicy(double maxShare) {
    if (!(maxShare >= 0 && maxShare <= MAX_SHARE)) {
      throw new IllegalArgumentException("share of hedged requests out of range: " + maxShare);
    }
    this.maxShare = maxShare;
    this.percentile = Math.max(MIN_PERCENTILE, 100 * (1 - maxShare));
    this.minSamples =
        maxShare == 0 ? Long.MAX_VALUE : (long) Math.ceil(MIN_SAMPLES_ABOVE * 100 / aboveShare());
  }

  private double aboveShare() {
    return 100 - percentile;
  }

  public boolean isEnabled() {
    return maxShare > 0;
  }

  /** Returns the percentile of the response times that is the delay of hedges. */
  public double percentile() {
    return percentile;
  }

  /**
   * Records that a request was sent that could be hedged.
   *
   * @param pool the name of the pool
   * @param now the current time
   */
  public void requestSent(String pool, long now) {
    if (isEnabled()) {
      Pool state = pools.computeIfAbsent(pool, name -> new Pool(now));
      state.advance(now);
      state.requests[state.slot()]++;
    }
  }

  /**
   * Records the response time of a first attempt. If the attempt was cancelled because the hedge
   * won, this is the time until then: without these samples, each hedge would lower the percentile
   * and so cause further hedges.
   *
   * @param pool the name of the pool
   * @param elapsedNanos the time since the request was sent
   * @param now the current time
   */
  public void responded(String pool, long elapsedNanos, long now) {
    if (isEnabled()) {
      pools.computeIfAbsent(pool, name -> new Pool(now)).record(elapsedNanos, now);
    }
  }

  /**
   * Returns the time without a response after which a request may be hedged.
   *
   * @param pool the name of the pool
   * @param now the current time
   * @return the delay in nanoseconds, {@link #NEVER} before there are enough samples
   */
  public long delayNanos(String pool, long now) {
    Pool state = pools.get(pool);
    return state == null ? NEVER : state.delayNanos(now);
  }

  /**
   * Returns whether one more hedge may be sent.
   *
   * @param pool the name of the pool
   * @param fleetVisible whether the node has a view of the fleet; without one it does not know
   *     which slots are free
   * @param now the current time
   * @return false if the share would be exceeded, or the view of the fleet is missing
   */
  public boolean mayHedge(String pool, boolean fleetVisible, long now) {
    Pool state = pools.get(pool);
    if (!fleetVisible || state == null) {
      return false;
    }
    state.advance(now);
    return sum(state.hedges) + 1 <= maxShare * sum(state.requests);
  }

  /**
   * Records that a hedge was sent.
   *
   * @param pool the name of the pool
   * @param now the current time
   */
  public void hedgeSent(String pool, long now) {
    Pool state = pools.computeIfAbsent(pool, name -> new Pool(now));
    state.advance(now);
    state.hedges[state.slot()]++;
  }

  /**
   * Returns the share of the requests of the last 30 s that were hedged.
   *
   * @param pool the name of the pool
   * @param now the current time
   * @return the share; 0 if there was no request
   */
  public double shareUsed(String pool, long now) {
    Pool state = pools.get(pool);
    if (state == null) {
      return 0;
    }
    state.advance(now);
    return (double) sum(state.hedges) / Math.max(1, sum(state.requests));
  }

  private static int sum(int[] counts) {
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }

  /** What is known of one pool. */
  private final class Pool {
    private final int[] requests = new int[BUCKET_COUNT];
    private final int[] hedges = new int[BUCKET_COUNT];
    private long bucket;
    private IntCountsHistogram samples = newHistogram();
    private IntCountsHistogram olderSamples = newHistogram();
    private long generationNanos;
    private long delayNanos = NEVER;
    private long delayComputedNanos;

    private Pool(long now) {
      bucket = Math.floorDiv(now, BUCKET_NANOS);
      generationNanos = now;
      delayComputedNanos = now - PERCENTILE_INTERVAL_NANOS;
    }

    private int slot() {
      return (int) Math.floorMod(bucket, (long) BUCKET_COUNT);
    }

    private void advance(long now) {
      long current = Math.floorDiv(now, BUCKET_NANOS);
      if (current - bucket >= BUCKET_COUNT) {
        bucket = current - BUCKET_COUNT;
      }
      while (bucket < current) {
        bucket++;
        requests[slot()] = 0;
        hedges[slot()] = 0;
      }
    }

    private void rotate(long now) {
      if (now - generationNanos >= GENERATION_NANOS) {
        boolean outdated = now - generationNanos >= 2 * GENERATION_NANOS;
        olderSamples = outdated ? newHistogram() : samples;
        samples = newHistogram();
        generationNanos = now;
      }
    }

    private void record(long elapsedNanos, long now) {
      rotate(now);
      samples.recordValue(
          Math.min(MAX_SAMPLE_UNITS, Math.max(0, elapsedNanos / SAMPLE_UNIT_NANOS)));
    }

    private long delayNanos(long now) {
      rotate(now);
      if (now - delayComputedNanos >= PERCENTILE_INTERVAL_NANOS || delayNanos == NEVER) {
        delayComputedNanos = now;
        delayNanos = computeDelayNanos();
      }
      return delayNanos;
    }

    private long computeDelayNanos() {
      if (samples.getTotalCount() + olderSamples.getTotalCount() < minSamples) {
        return NEVER;
      }
      IntCountsHistogram all = olderSamples.copy();
      all.add(samples);
      return Math.max(MIN_DELAY_NANOS, all.getValueAtPercentile(percentile) * SAMPLE_UNIT_NANOS);
    }
  }

  private static IntCountsHistogram newHistogram() {
    return new IntCountsHistogram(MAX_SAMPLE_UNITS, SIGNIFICANT_DIGITS);
  }
}

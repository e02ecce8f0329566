package org.cranberrystand.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Ejects the upstreams of one pool that fail repeatedly and readmits them gradually.
 *
 * <p>Only a fraction of the pool is ejected at a time, so that a fault common to all upstreams does
 * not eject the whole pool. Not thread-safe.
 */
public final class EjectionPolicy {
  private static final int FAILURES_TO_EJECT = 3;
  private static final double MAX_EJECTED_FRACTION = 0.34;
  private static final long BASE_EJECTION_NANOS = 3_000_000_000L;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;
  private static final long RAMP_UP_NANOS = 8_000_000_000L;
  private static final double INITIAL_ADMITTED_FRACTION = 0.1;

  /** Without jitter, all nodes would send requests to a restarted upstream at the same time. */
  private static final double JITTER_FRACTION = 0.5;

  private static final class Entry {
    private int failures;
    private int ejections;
    private boolean ejected;
    private boolean readmitting;
    private long untilNanos;
  }

  private final SplittableRandom random;
  private final Map<String, Entry> entries = new HashMap<>();
  private int ejectedCount;

  /**
   * Creates a policy without ejected upstreams.
   *
   * @param seed the seed of the jitter
   */
  public EjectionPolicy(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /**
   * Records a failed request, connection failure or crash.
   *
   * @param upstream the name of the upstream
   * @param poolSize the number of upstreams of the pool
   * @param nowNanos the current time
   * @return true if this failure ejected the upstream
   */
  public boolean failed(String upstream, int poolSize, long nowNanos) {
    Entry entry = entries.computeIfAbsent(upstream, name -> new Entry());
    refresh(entry, nowNanos);
    entry.failures++;
    if (entry.ejected || (entry.failures < FAILURES_TO_EJECT && !entry.readmitting)) {
      return false;
    }
    if (ejectedCount >= maxEjected(poolSize)) {
      return false;
    }
    int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, entry.ejections);
    double ejectionNanos =
        BASE_EJECTION_NANOS * Math.pow(2, doublings) * (1 + JITTER_FRACTION * random.nextDouble());
    entry.ejected = true;
    entry.readmitting = false;
    entry.ejections++;
    entry.untilNanos = nowNanos + (long) ejectionNanos;
    ejectedCount++;
    return true;
  }

  private static int maxEjected(int poolSize) {
    return poolSize <= 1 ? 0 : Math.max(1, (int) (poolSize * MAX_EJECTED_FRACTION));
  }

  /**
   * Records an answered request.
   *
   * @param upstream the name of the upstream
   */
  public void succeeded(String upstream) {
    Entry entry = entries.get(upstream);
    if (entry != null) {
      entry.failures = 0;
    }
  }

  /**
   * Removes the state of an upstream that left the pool.
   *
   * @param upstream the name of the upstream
   */
  public void forget(String upstream) {
    Entry entry = entries.remove(upstream);
    if (entry != null && entry.ejected) {
      ejectedCount--;
    }
  }

  /**
   * Returns the fraction of its capacity that an upstream may be given.
   *
   * @param upstream the name of the upstream
   * @param nowNanos the current time
   * @return 0 while the upstream is ejected, then increasing from {@value
   *     #INITIAL_ADMITTED_FRACTION} to 1
   */
  public double admittedFraction(String upstream, long nowNanos) {
    Entry entry = entries.isEmpty() ? null : entries.get(upstream);
    if (entry == null) {
      return 1;
    }
    refresh(entry, nowNanos);
    if (entry.ejected) {
      return 0;
    }
    if (!entry.readmitting) {
      return 1;
    }
    double progress = (double) (nowNanos - entry.untilNanos) / RAMP_UP_NANOS;
    return Math.min(1, INITIAL_ADMITTED_FRACTION + (1 - INITIAL_ADMITTED_FRACTION) * progress);
  }

  private void refresh(Entry entry, long nowNanos) {
    if (entry.ejected && nowNanos >= entry.untilNanos) {
      entry.ejected = false;
      entry.readmitting = true;
      entry.failures = 0;
      ejectedCount--;
    }
    if (entry.readmitting && nowNanos >= entry.untilNanos + RAMP_UP_NANOS) {
      entry.readmitting = false;
      entry.ejections = 0;
    }
  }
}

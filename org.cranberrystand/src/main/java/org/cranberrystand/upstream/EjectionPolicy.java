package org.cranberrystand.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Ejects upstreams of one pool that fail repeatedly, and readmits them gradually.
 *
 * <p>At most a fraction of the pool is ejected at a time, so that a fault that looks the same on
 * all upstreams does not take the whole pool away. Not thread-safe.
 */
public final class EjectionPolicy {
  private static final int FAILURES_TO_EJECT = 3;
  private static final double MAX_EJECTED_FRACTION = 0.34;
  private static final long BASE_EJECTION_NANOS = 3_000_000_000L;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;
  private static final long READMISSION_NANOS = 8_000_000_000L;
  private static final double INITIAL_SHARE = 0.1;

  /** Without jitter all nodes would probe a restarted upstream in the same instant. */
  private static final double JITTER = 0.5;

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
   * Notes a failed connection or a crash.
   *
   * @param upstream the name of the upstream
   * @param poolSize the number of upstreams of the pool
   * @param nowNanos the time
   * @return whether the upstream was ejected by this failure
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
    double nanos =
        BASE_EJECTION_NANOS * Math.pow(2, doublings) * (1 + JITTER * random.nextDouble());
    entry.ejected = true;
    entry.readmitting = false;
    entry.ejections++;
    entry.untilNanos = nowNanos + (long) nanos;
    ejectedCount++;
    return true;
  }

  private static int maxEjected(int poolSize) {
    return poolSize <= 1 ? 0 : Math.max(1, (int) (poolSize * MAX_EJECTED_FRACTION));
  }

  /**
   * Notes an answer.
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
   * Forgets an upstream that left.
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
   * Returns the part of its window that an upstream may use.
   *
   * @param upstream the name of the upstream
   * @param nowNanos the time
   * @return 0 while it is ejected, then growing from a small part to 1
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
    double progress = (double) (nowNanos - entry.untilNanos) / READMISSION_NANOS;
    return Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * progress);
  }

  private void refresh(Entry entry, long nowNanos) {
    if (entry.ejected && nowNanos >= entry.untilNanos) {
      entry.ejected = false;
      entry.readmitting = true;
      entry.failures = 0;
      ejectedCount--;
    }
    if (entry.readmitting && nowNanos >= entry.untilNanos + READMISSION_NANOS) {
      entry.readmitting = false;
      entry.ejections = 0;
    }
  }
}

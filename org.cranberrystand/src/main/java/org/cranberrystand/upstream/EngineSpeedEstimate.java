package org.cranberrystand.upstream;

/**
 * Learned speed of one engine: prefill rate and token gap, both now and without load.
 *
 * <p>Not thread-safe.
 */
final class EngineSpeedEstimate {
  /** Starting points; replaced by the first observations. */
  private static final double INITIAL_PREFILL_RATE = 8_000;

  private static final double INITIAL_GAP_NANOS = 30e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Shorter prompts are dominated by the fixed cost of a step and say nothing about the rate. */
  private static final long MIN_SAMPLE_TOKENS = 384;

  private static final double MAX_GAP_WEIGHT = 0.25;
  private static final double ALONE_WEIGHT = 0.2;
  private static final double QUEUED_WEIGHT = 0.05;

  /** Lets the unloaded figures follow a lasting change of the hardware within some minutes. */
  private static final double DRIFT_PER_SECOND = 0.002;

  private double prefillRate = INITIAL_PREFILL_RATE;
  private double unloadedPrefillRate = INITIAL_PREFILL_RATE;
  private double gapNanos = INITIAL_GAP_NANOS;
  private double unloadedGapNanos = INITIAL_GAP_NANOS;
  private boolean gapKnown;
  private boolean prefillKnown;

  double prefillRate() {
    return prefillRate;
  }

  double unloadedPrefillRate() {
    return unloadedPrefillRate;
  }

  double gapNanos() {
    return gapNanos;
  }

  double unloadedGapNanos() {
    return unloadedGapNanos;
  }

  boolean isGapKnown() {
    return gapKnown;
  }

  /** Returns the first-token delay that the engine needs for some prefill work without load. */
  double unloadedDelayNanos(double tokens) {
    return tokens / unloadedPrefillRate * NANOS_PER_SECOND + unloadedGapNanos;
  }

  /** Takes a gap between tokens into account; events that carry more tokens weigh more. */
  void gap(double sampleNanos, int tokens) {
    if (!gapKnown) {
      gapKnown = true;
      gapNanos = sampleNanos;
      unloadedGapNanos = sampleNanos;
      return;
    }
    double weight = Math.min(MAX_GAP_WEIGHT, MAX_GAP_WEIGHT / 2 * tokens);
    gapNanos += weight * (sampleNanos - gapNanos);
    unloadedGapNanos = Math.min(unloadedGapNanos, gapNanos);
  }

  /** Takes a stall into account: no token for longer than the current gap. */
  void stalled(double sinceLastNanos) {
    if (gapKnown && sinceLastNanos > gapNanos) {
      gapNanos = sinceLastNanos;
    }
  }

  /** Takes the delay of a first token into account. */
  void firstToken(double pendingTokens, boolean alone, double delayNanos) {
    if (pendingTokens < MIN_SAMPLE_TOKENS || delayNanos <= 0) {
      return;
    }
    double sample = pendingTokens / delayNanos * NANOS_PER_SECOND;
    if (!prefillKnown) {
      prefillKnown = true;
      prefillRate = sample;
      unloadedPrefillRate = sample;
      return;
    }
    prefillRate += (alone ? ALONE_WEIGHT : QUEUED_WEIGHT) * (sample - prefillRate);
    unloadedPrefillRate = Math.max(unloadedPrefillRate, prefillRate);
  }

  /** Lets the unloaded figures drift towards the current ones. */
  void drift(double seconds) {
    double step = Math.min(1, DRIFT_PER_SECOND * seconds);
    unloadedGapNanos += step * (gapNanos - unloadedGapNanos);
    unloadedPrefillRate += step * (prefillRate - unloadedPrefillRate);
  }
}

package org.cranberrystand.upstream;

/**
 * Estimated speed of one engine: prefill rate and token gap, both current and unloaded.
 *
 * <p>Not thread-safe.
 */
final class EngineSpeedEstimate {
  /** Initial value, replaced by the first observation. */
  private static final double INITIAL_PREFILL_TOKENS_PER_SECOND = 8_000;

  private static final double INITIAL_TOKEN_GAP_NANOS = 30e6;
  private static final double NANOS_PER_SECOND = 1e9;

  /** The fixed cost of a step dominates the delay of shorter prompts. */
  private static final long MIN_SAMPLE_TOKENS = 384;

  private static final double MAX_GAP_WEIGHT = 0.25;
  private static final double UNQUEUED_WEIGHT = 0.2;
  private static final double QUEUED_WEIGHT = 0.05;

  /** The unloaded estimates follow a lasting change of the hardware within minutes. */
  private static final double DRIFT_PER_SECOND = 0.002;

  private double prefillTokensPerSecond = INITIAL_PREFILL_TOKENS_PER_SECOND;
  private double unloadedPrefillTokensPerSecond = INITIAL_PREFILL_TOKENS_PER_SECOND;
  private double tokenGapNanos = INITIAL_TOKEN_GAP_NANOS;
  private double unloadedTokenGapNanos = INITIAL_TOKEN_GAP_NANOS;
  private boolean tokenGapObserved;
  private boolean prefillObserved;

  double prefillTokensPerSecond() {
    return prefillTokensPerSecond;
  }

  double unloadedPrefillTokensPerSecond() {
    return unloadedPrefillTokensPerSecond;
  }

  double tokenGapNanos() {
    return tokenGapNanos;
  }

  double unloadedTokenGapNanos() {
    return unloadedTokenGapNanos;
  }

  boolean isTokenGapObserved() {
    return tokenGapObserved;
  }

  /** Returns the first-token delay for the given prefill tokens on the unloaded engine. */
  double unloadedDelayNanos(double tokens) {
    return tokens / unloadedPrefillTokensPerSecond * NANOS_PER_SECOND + unloadedTokenGapNanos;
  }

  /** Records the gap between tokens; events with more tokens have a higher weight. */
  void tokenGap(double sampleNanos, int tokens) {
    if (!tokenGapObserved) {
      tokenGapObserved = true;
      tokenGapNanos = sampleNanos;
      unloadedTokenGapNanos = sampleNanos;
      return;
    }
    double weight = Math.min(MAX_GAP_WEIGHT, MAX_GAP_WEIGHT / 2 * tokens);
    tokenGapNanos += weight * (sampleNanos - tokenGapNanos);
    unloadedTokenGapNanos = Math.min(unloadedTokenGapNanos, tokenGapNanos);
  }

  /** Raises the current gap if the engine has produced no token for longer than the gap. */
  void stalled(double sinceLastTokenNanos) {
    if (tokenGapObserved && sinceLastTokenNanos > tokenGapNanos) {
      tokenGapNanos = sinceLastTokenNanos;
    }
  }

  /** Records the delay of a first token; {@code unqueued} if no other prefill was pending. */
  void firstToken(double pendingTokens, boolean unqueued, double delayNanos) {
    if (pendingTokens < MIN_SAMPLE_TOKENS || delayNanos <= 0) {
      return;
    }
    double sample = pendingTokens / delayNanos * NANOS_PER_SECOND;
    if (!prefillObserved) {
      prefillObserved = true;
      prefillTokensPerSecond = sample;
      unloadedPrefillTokensPerSecond = sample;
      return;
    }
    prefillTokensPerSecond +=
        (unqueued ? UNQUEUED_WEIGHT : QUEUED_WEIGHT) * (sample - prefillTokensPerSecond);
    unloadedPrefillTokensPerSecond =
        Math.max(unloadedPrefillTokensPerSecond, prefillTokensPerSecond);
  }

  /** Moves the unloaded estimates towards the current ones. */
  void drift(double seconds) {
    double step = Math.min(1, DRIFT_PER_SECOND * seconds);
    unloadedTokenGapNanos += step * (tokenGapNanos - unloadedTokenGapNanos);
    unloadedPrefillTokensPerSecond +=
        step * (prefillTokensPerSecond - unloadedPrefillTokensPerSecond);
  }
}

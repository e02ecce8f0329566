package org.cranberrystand.schedule;

/** A dispatched request with its progress and the tokens charged for it. Not thread-safe. */
final class RunningRequest {
  private final QueuedItem queued;
  private final EngineState engine;
  private final PoolDispatcher pool;
  private final double prefillTokens;
  private final double pendingPrefillTokensAtDispatch;
  private final long dispatchedNanos;
  private final boolean isolated;
  private double chargedOutputTokens;
  private long lastTokenNanos;
  private int producedTokens;

  RunningRequest(
      QueuedItem queued,
      EngineState engine,
      PoolDispatcher pool,
      double prefillTokens,
      long dispatchedNanos,
      boolean isolated) {
    this.queued = queued;
    this.engine = engine;
    this.pool = pool;
    this.prefillTokens = prefillTokens;
    this.pendingPrefillTokensAtDispatch = engine.window().pendingPrefillTokens();
    this.dispatchedNanos = dispatchedNanos;
    this.isolated = isolated;
    this.chargedOutputTokens = queued.expectedOutputTokens();
  }

  QueuedItem queued() {
    return queued;
  }

  WorkItem item() {
    return queued.item();
  }

  EngineState engine() {
    return engine;
  }

  PoolDispatcher pool() {
    return pool;
  }

  double prefillTokens() {
    return prefillTokens;
  }

  double contextTokens() {
    return queued.costTokens();
  }

  double pendingPrefillTokensAtDispatch() {
    return pendingPrefillTokensAtDispatch;
  }

  long dispatchedNanos() {
    return dispatchedNanos;
  }

  boolean isIsolated() {
    return isolated;
  }

  int producedTokens() {
    return producedTokens;
  }

  boolean isDecoding() {
    return producedTokens > 0;
  }

  /** Returns the expected output that has not been produced yet. */
  double remainingOutputTokens() {
    return Math.max(0, queued.expectedOutputTokens() - producedTokens);
  }

  double chargedOutputTokens() {
    return chargedOutputTokens;
  }

  void addCharge(double tokens) {
    chargedOutputTokens += tokens;
  }

  /** Records output tokens; returns the time since the previous tokens or the dispatch. */
  long recordTokens(int tokens, long nowNanos) {
    long elapsedNanos = nowNanos - (producedTokens == 0 ? dispatchedNanos : lastTokenNanos);
    producedTokens += tokens;
    lastTokenNanos = nowNanos;
    return elapsedNanos;
  }
}

package org.cranberrystand.schedule;

/** A dispatched request and what was charged for it. Not thread-safe. */
final class RunningRequest {
  private final QueuedItem queued;
  private final EngineState engine;
  private final PoolDispatcher pool;
  private final double prefillTokens;
  private final double pendingAtDispatch;
  private final long dispatchedNanos;
  private final boolean isolated;
  private double chargedOutput;
  private long lastTokenNanos;
  private int produced;

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
    this.pendingAtDispatch = engine.window().pendingPrefillTokens();
    this.dispatchedNanos = dispatchedNanos;
    this.isolated = isolated;
    this.chargedOutput = queued.outputTokens();
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
    return queued.cost();
  }

  double pendingAtDispatch() {
    return pendingAtDispatch;
  }

  long dispatchedNanos() {
    return dispatchedNanos;
  }

  boolean isIsolated() {
    return isolated;
  }

  int produced() {
    return produced;
  }

  boolean isDecoding() {
    return produced > 0;
  }

  /** Returns the expected output that has not come yet. */
  double remainingOutput() {
    return Math.max(0, queued.outputTokens() - produced);
  }

  double chargedOutput() {
    return chargedOutput;
  }

  void addCharge(double tokens) {
    chargedOutput += tokens;
  }

  /** Notes new tokens and returns the time since the previous ones. */
  long produce(int tokens, long nowNanos) {
    long elapsed = nowNanos - (produced == 0 ? dispatchedNanos : lastTokenNanos);
    produced += tokens;
    lastTokenNanos = nowNanos;
    return elapsed;
  }
}

package org.cranberrystand.dispatch;

/** A request at an upstream. Not thread-safe. */
final class RunningCall {
  /** Shorter answers say little of the pace. */
  private static final int MIN_PACE_EVENTS = 5;

  private final CallSpec call;
  private final UpstreamState state;
  private final long tokensToRead;
  private final long queuedTokens;
  private final long sentNanos;
  private long firstEventNanos;
  private long lastEventNanos;
  private int events;

  RunningCall(CallSpec call, UpstreamState state, int sharedTokens, long sentNanos) {
    this.call = call;
    this.state = state;
    this.tokensToRead = (long) call.promptTokens() - sharedTokens;
    this.queuedTokens = Math.max(0, state.totalPrefillTokens() - tokensToRead);
    this.sentNanos = sentNanos;
  }

  CallSpec call() {
    return call;
  }

  UpstreamState state() {
    return state;
  }

  /** Returns the prompt tokens that the upstream has still to read. */
  long tokensToRead() {
    return isDecoding() ? 0 : tokensToRead;
  }

  long sentNanos() {
    return sentNanos;
  }

  long firstEventNanos() {
    return firstEventNanos;
  }

  /** Returns whether the first event has come. */
  boolean isDecoding() {
    return firstEventNanos != 0;
  }

  /** Notes events of the answer. */
  void eventsCame(int count, long nowNanos) {
    if (!isDecoding()) {
      firstEventNanos = nowNanos;
      state.firstEvent(tokensToRead, queuedTokens, nowNanos - sentNanos);
    }
    events += count;
    lastEventNanos = nowNanos;
  }

  /** Teaches the state of the upstream how fast the events came. */
  void reportPace() {
    if (events >= MIN_PACE_EVENTS) {
      state.eventsCame((double) (lastEventNanos - firstEventNanos) / (events - 1));
    }
  }
}

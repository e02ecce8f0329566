package org.cranberrystand.dispatch;

/** A request at an upstream. Not thread-safe. */
final class RunningCall {
  private final CallSpec call;
  private final UpstreamState state;
  private final long queuedTokens;
  private final long sentNanos;
  private long firstEventNanos;

  RunningCall(CallSpec call, UpstreamState state, long sentNanos) {
    this.call = call;
    this.state = state;
    this.queuedTokens = Math.max(0, state.totalPrefillTokens() - call.promptTokens());
    this.sentNanos = sentNanos;
  }

  CallSpec call() {
    return call;
  }

  UpstreamState state() {
    return state;
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

  void firstEvent(long nowNanos) {
    if (!isDecoding()) {
      firstEventNanos = nowNanos;
      state.firstEvent(call, queuedTokens, nowNanos - sentNanos);
    }
  }
}

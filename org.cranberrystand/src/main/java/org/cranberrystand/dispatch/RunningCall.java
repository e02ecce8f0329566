package org.cranberrystand.dispatch;

/** A request that was sent to an upstream and has not ended. Not thread-safe. */
final class RunningCall {
  /** Silence after which a streaming upstream counts as stalled; many times the gap target. */
  private static final long STREAM_STALL_NANOS = 900_000_000L;

  /** Streams with fewer events give no reliable mean interval. */
  private static final int MIN_EVENTS_FOR_INTERVAL = 5;

  private final CallSpec call;
  private final UpstreamState state;
  private final long prefillTokens;
  private final long queuedPrefillTokens;
  private final long sentNanos;
  private long firstEventNanos;
  private long lastEventNanos;
  private int events;

  RunningCall(CallSpec call, UpstreamState state, int cachedTokens, long sentNanos) {
    this.call = call;
    this.state = state;
    this.prefillTokens = (long) call.promptTokens() - cachedTokens;
    this.queuedPrefillTokens = Math.max(0, state.totalPrefillTokens() - prefillTokens);
    this.sentNanos = sentNanos;
  }

  CallSpec call() {
    return call;
  }

  UpstreamState state() {
    return state;
  }

  /** Returns the prompt tokens that still wait for prefill; 0 after the first event. */
  long pendingPrefillTokens() {
    return isDecoding() ? 0 : prefillTokens;
  }

  long sentNanos() {
    return sentNanos;
  }

  long firstEventNanos() {
    return firstEventNanos;
  }

  /** Returns whether the first event has been received. */
  boolean isDecoding() {
    return firstEventNanos != 0;
  }

  /** Records events of the response stream. */
  void eventsReceived(int count, long nowNanos) {
    if (!isDecoding()) {
      firstEventNanos = nowNanos;
      state.firstEvent(prefillTokens, queuedPrefillTokens, nowNanos - sentNanos, nowNanos);
    }
    events += count;
    lastEventNanos = nowNanos;
  }

  /** Reports the mean interval between the events to the state of the upstream. */
  void reportEventInterval() {
    if (events >= MIN_EVENTS_FOR_INTERVAL) {
      state.eventIntervalObserved((double) (lastEventNanos - firstEventNanos) / (events - 1));
    }
  }

  /** Returns whether the stream has begun and nothing has come from its upstream for long. */
  boolean isStalled(long nowNanos) {
    return isDecoding()
        && nowNanos - Math.max(firstEventNanos(), state().lastReceivedNanos()) > STREAM_STALL_NANOS;
  }
}

package org.cranberrystand.dispatch;

import com.google.common.hash.Hashing;
import java.util.OptionalLong;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * A node's view of one upstream: its registration, its load and its estimated speed. Not
 * thread-safe.
 *
 * <p>Speeds are estimated from the delay of first events and responses, because the upstreams of
 * one pool differ in speed by a multiple and some become slow.
 */
final class UpstreamState {
  /** Prefill time per token before the first observation. */
  static final double INITIAL_PREFILL_NANOS_PER_TOKEN = 20_000;

  /** Response time of a plain service before the first observation. */
  static final double INITIAL_SERVICE_NANOS = 60e6;

  /** Time to the first event without the prefill: network, scheduling and one decoding step. */
  static final double FIRST_EVENT_BASE_NANOS = 25e6;

  /** Interval between two events before the first observation. */
  static final double INITIAL_EVENT_INTERVAL_NANOS = 25e6;

  /** Weight of a new observation; the average follows about the last ten requests. */
  private static final double SMOOTHING_FACTOR = 0.15;

  /** How long an upstream receives no requests after the first failure to reach it. */
  private static final long INITIAL_BACKOFF_NANOS = 400_000_000L;

  /** The backoff doubles with each further failure, up to this multiple of the initial one. */
  private static final int MAX_BACKOFF_FACTOR = 4;

  /** Fixed costs dominate the delay of shorter prompts. */
  private static final int MIN_SAMPLE_TOKENS = 300;

  /** Limits one observation to this multiple of the average. */
  private static final double MAX_SAMPLE_RATIO = 4;

  private RegisteredUpstream upstream;
  private UpstreamUsage peerUsage = UpstreamUsage.NONE;
  private boolean preferred = true;
  private int running;
  private long pendingPrefillTokens;
  private double prefillNanosPerToken = INITIAL_PREFILL_NANOS_PER_TOKEN;
  private double serviceNanos = INITIAL_SERVICE_NANOS;
  private double eventIntervalNanos = INITIAL_EVENT_INTERVAL_NANOS;
  private boolean measured;
  private final SlowdownEstimate slowdown = new SlowdownEstimate();
  private double admittedFraction = 1;
  private long blockedUntilNanos = Long.MIN_VALUE;
  private long pausedUntilNanos = Long.MIN_VALUE;
  private long minSendIntervalNanos;
  private long limitedUntilNanos = Long.MIN_VALUE;
  private int slotShare = Integer.MAX_VALUE;
  private boolean sentBefore;
  private long lastSentNanos;
  private long lastReceivedNanos = Long.MIN_VALUE;
  private int backoffFactor = 1;
  private final long coldUntilNanos;
  private final long idHash;

  UpstreamState(RegisteredUpstream upstream, long nowNanos) {
    this.upstream = upstream;
    this.idHash = Hashing.farmHashFingerprint64().hashUnencodedChars(upstream.id()).asLong();
    this.coldUntilNanos = nowNanos + upstream.coldRemainingMillis() * 1_000_000;
  }

  RegisteredUpstream upstream() {
    return upstream;
  }

  void setUpstream(RegisteredUpstream value) {
    this.upstream = value;
  }

  void setPeerUsage(UpstreamUsage value) {
    this.peerUsage = value;
  }

  /**
   * Returns the rendezvous hash of a prompt prefix and this upstream. All nodes send requests with
   * the prefix to the upstream with the highest value, so each prefix is cached at one upstream. If
   * an upstream is lost, only its own prefixes move.
   */
  long prefixAffinity(long prefixKey) {
    long mixed = prefixKey ^ idHash;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  void setPreferred(boolean value) {
    this.preferred = value;
  }

  boolean isPreferred() {
    return preferred;
  }

  void setAdmittedFraction(double value) {
    this.admittedFraction = value;
  }

  /** Sets the average speeds of the pool unless this upstream has been measured. */
  void assumeSpeeds(double prefill, double service, double eventInterval) {
    if (!measured) {
      prefillNanosPerToken = prefill;
      serviceNanos = service;
      eventIntervalNanos = eventInterval;
    }
  }

  boolean isMeasured() {
    return measured;
  }

  double prefillNanosPerToken() {
    return prefillNanosPerToken;
  }

  double serviceNanos() {
    return serviceNanos;
  }

  double eventIntervalNanos() {
    return eventIntervalNanos;
  }

  int totalRunning() {
    return running + peerUsage.running();
  }

  long totalPrefillTokens() {
    return pendingPrefillTokens + peerUsage.prefillTokens();
  }

  /** Sets until when the upstream wants no requests from this node. */
  void pauseUntil(long untilNanos) {
    pausedUntilNanos = Math.max(pausedUntilNanos, untilNanos);
  }

  /**
   * Sets the shortest interval between two requests of this node; 0 for none, {@link
   * UpstreamLimits#NEVER} if this node must not send any.
   */
  void setMinSendInterval(long intervalNanos) {
    minSendIntervalNanos = intervalNanos;
    updateLimitedUntil();
  }

  /** Sets how many slots this node may use at a time. */
  void setSlotShare(int value) {
    slotShare = value;
  }

  /** Returns whether this node may use some of the slots only. */
  boolean isDivided() {
    return slotShare < upstream.slots();
  }

  /** Returns whether this node may send requests at all, now or later. */
  boolean isUsable() {
    return slotShare > 0 && minSendIntervalNanos != UpstreamLimits.NEVER;
  }

  private void updateLimitedUntil() {
    if (minSendIntervalNanos == UpstreamLimits.NEVER) {
      limitedUntilNanos = Long.MAX_VALUE;
    } else {
      limitedUntilNanos = sentBefore ? lastSentNanos + minSendIntervalNanos : Long.MIN_VALUE;
    }
  }

  /**
   * Returns until when this node must not send requests, because the upstream asked for a pause or
   * limits their rate; {@link Long#MAX_VALUE} if it must not send any.
   */
  long closedUntilNanos() {
    return Math.max(pausedUntilNanos, limitedUntilNanos);
  }

  /**
   * Returns the free slots as far as this node knows; 0 while the upstream is blocked, paused or at
   * its rate limit.
   */
  int freeSlots(long nowNanos) {
    if (nowNanos < blockedUntilNanos || nowNanos < closedUntilNanos() || admittedFraction <= 0) {
      return 0;
    }
    int slots = Math.max(1, (int) Math.round(upstream.slots() * admittedFraction));
    return Math.max(0, Math.min(slots - totalRunning(), slotShare - running));
  }

  /**
   * Returns whether the upstream may respond late because it has just started. An upstream whose
   * rate is limited receives what it tolerates and is not avoided beyond that.
   */
  boolean isCold(long nowNanos) {
    return nowNanos < coldUntilNanos && minSendIntervalNanos == 0;
  }

  /** Records how long work currently takes on the VM of the upstream. */
  void speedReported(ReportedSpeed speed, long nowNanos) {
    slowdown.report(speed.slowdown(), nowNanos);
  }

  /** Returns how many times as long as usual work takes now, by recent reports; 1 without them. */
  double slowdown(long nowNanos) {
    return slowdown.factor(nowNanos);
  }

  /** Returns whether the upstream may receive hedges, which must not burden a limited one. */
  boolean acceptsHedges(long nowNanos) {
    return freeSlots(nowNanos) > 0
        && !isCold(nowNanos)
        && !upstream.leaving()
        && minSendIntervalNanos == 0
        && !isDivided()
        && admittedFraction >= 1;
  }

  /** Returns the expected time to the first event of a stream or to the complete response. */
  double expectedFirstResponseNanos(CallSpec call, int cachedTokens, long nowNanos) {
    if (!call.isStreaming()) {
      double busy = (double) totalRunning() / Math.max(1, upstream.slots());
      return serviceNanos * (1 + busy) * slowdown(nowNanos);
    }
    long tokens = totalPrefillTokens() + call.promptTokens() - cachedTokens;
    return (FIRST_EVENT_BASE_NANOS + tokens * prefillNanosPerToken) * slowdown(nowNanos);
  }

  /** Returns when the last request was sent; empty if none was. */
  OptionalLong lastSentNanos() {
    return sentBefore ? OptionalLong.of(lastSentNanos) : OptionalLong.empty();
  }

  /** Takes over when a request was sent before the upstream was unusable for some time. */
  void sentEarlier(long sentNanos) {
    sentBefore = true;
    lastSentNanos = sentNanos;
    updateLimitedUntil();
  }

  /** Records that a request was sent, with the prompt tokens that need prefill. */
  void sent(long prefillTokens, long nowNanos) {
    running++;
    sentBefore = true;
    lastSentNanos = nowNanos;
    updateLimitedUntil();
    pendingPrefillTokens += prefillTokens;
  }

  /**
   * Records the first event of a request. {@code queuedPrefillTokens} tokens of other requests
   * waited for prefill when the request was sent. The average is that of the usual speed, since a
   * reported slowdown is applied to it.
   */
  void firstEvent(long prefillTokens, long queuedPrefillTokens, long elapsedNanos, long nowNanos) {
    pendingPrefillTokens = Math.max(0, pendingPrefillTokens - prefillTokens);
    long tokens = queuedPrefillTokens + prefillTokens;
    if (tokens >= MIN_SAMPLE_TOKENS) {
      double usualNanos = elapsedNanos / slowdown(nowNanos);
      double observed = Math.max(0, usualNanos - FIRST_EVENT_BASE_NANOS) / tokens;
      prefillNanosPerToken = smooth(prefillNanosPerToken, observed);
    }
  }

  void answered(long elapsedNanos, long nowNanos) {
    serviceNanos = smooth(serviceNanos, elapsedNanos / slowdown(nowNanos));
  }

  /** Records the mean interval between the events of a response stream. */
  void eventIntervalObserved(double nanosPerEvent) {
    eventIntervalNanos = smooth(eventIntervalNanos, nanosPerEvent);
  }

  private double smooth(double average, double observed) {
    measured = true;
    return average + SMOOTHING_FACTOR * (Math.min(observed, average * MAX_SAMPLE_RATIO) - average);
  }

  /** Records the end of a request, with the prompt tokens that still waited for prefill. */
  void ended(long prefillTokens) {
    running = Math.max(0, running - 1);
    pendingPrefillTokens = Math.max(0, pendingPrefillTokens - prefillTokens);
  }

  void unreachable(long nowNanos) {
    if (nowNanos < blockedUntilNanos) {
      // Requests sent before the first failure fail for the same reason and must not count again.
      return;
    }
    blockedUntilNanos = nowNanos + INITIAL_BACKOFF_NANOS * backoffFactor;
    backoffFactor = Math.min(MAX_BACKOFF_FACTOR, 2 * backoffFactor);
  }

  /** Ends the backoff after failures to reach the upstream. */
  void reachable() {
    blockedUntilNanos = Long.MIN_VALUE;
    backoffFactor = 1;
  }

  /** Returns how long nothing has come from the upstream. */
  long silentNanos(long nowNanos) {
    return lastReceivedNanos == Long.MIN_VALUE ? Long.MAX_VALUE : nowNanos - lastReceivedNanos;
  }

  void bytesReceived(long nowNanos) {
    lastReceivedNanos = nowNanos;
    backoffFactor = 1;
  }

  long lastReceivedNanos() {
    return lastReceivedNanos;
  }
}

package org.cranberrystand.dispatch;

import com.google.common.hash.Hashing;
import org.cranberrystand.upstream.RegisteredUpstream;

/**
 * What one node knows and has learned of one upstream. Not thread-safe.
 *
 * <p>Speeds are learned from the delay of first events and answers, because upstreams of one pool
 * differ several times and some turn slow.
 */
final class UpstreamState {
  /** Prompt speed assumed before the first observation. */
  static final double INITIAL_PREFILL_NANOS_PER_TOKEN = 20_000;

  /** Answer time of a plain service assumed before the first observation. */
  static final double INITIAL_SERVICE_NANOS = 60e6;

  /** Time of a first event that does not depend on the prompt: network, scheduling, one step. */
  static final double FIRST_EVENT_NANOS = 25e6;

  /** Time between two events assumed before the first observation. */
  static final double INITIAL_EVENT_NANOS = 25e6;

  /** Part of a new observation in the learned value: about the last ten requests count. */
  private static final double LEARNING_RATE = 0.15;

  /** An upstream that could not be reached gets no request for this long at first. */
  private static final long UNREACHABLE_NANOS = 400_000_000L;

  /** The time doubles with each further failure, up to this multiple. */
  private static final int MAX_UNREACHABLE_FACTOR = 4;

  /** Prompts below this size say little of the speed. */
  private static final int MIN_LEARNED_TOKENS = 300;

  /** Bounds one observation to this multiple of the learned value. */
  private static final double MAX_STEP = 4;

  private RegisteredUpstream upstream;
  private UpstreamUsage peers = UpstreamUsage.NONE;
  private boolean home = true;
  private int running;
  private long prefillTokens;
  private double prefillNanosPerToken = INITIAL_PREFILL_NANOS_PER_TOKEN;
  private double serviceNanos = INITIAL_SERVICE_NANOS;
  private double eventNanos = INITIAL_EVENT_NANOS;
  private boolean measured;
  private double admittedFraction = 1;
  private long blockedUntilNanos = Long.MIN_VALUE;
  private long heardNanos = Long.MIN_VALUE;
  private int unreachableFactor = 1;
  private final long coldUntilNanos;
  private final long idHash;

  UpstreamState(RegisteredUpstream upstream, long nowNanos) {
    this.upstream = upstream;
    this.idHash = Hashing.farmHashFingerprint64().hashUnencodedChars(upstream.id()).asLong();
    this.coldUntilNanos = nowNanos + upstream.coldMillis() * 1_000_000;
  }

  RegisteredUpstream upstream() {
    return upstream;
  }

  void setUpstream(RegisteredUpstream value) {
    this.upstream = value;
  }

  void setPeers(UpstreamUsage value) {
    this.peers = value;
  }

  /**
   * Returns how well a common beginning of prompts fits here. The upstream with the highest figure
   * reads it on all nodes; a lost upstream moves only what it had.
   */
  long prefixRank(long sharedKey) {
    long mixed = sharedKey ^ idHash;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  void setHome(boolean value) {
    this.home = value;
  }

  boolean isHome() {
    return home;
  }

  void setAdmittedFraction(double value) {
    this.admittedFraction = value;
  }

  /** Copies what holds for the pool at large to an upstream that was not measured yet. */
  void assumeSpeeds(double prefillNanos, double service, double event) {
    if (!measured) {
      prefillNanosPerToken = prefillNanos;
      serviceNanos = service;
      eventNanos = event;
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

  double eventNanos() {
    return eventNanos;
  }

  int totalRunning() {
    return running + peers.running();
  }

  long totalPrefillTokens() {
    return prefillTokens + peers.prefillTokens();
  }

  /** Returns the slots that are free, as far as known; 0 while nothing may be sent. */
  int freeSlots(long nowNanos) {
    if (nowNanos < blockedUntilNanos || admittedFraction <= 0) {
      return 0;
    }
    int slots = Math.max(1, (int) Math.round(upstream.slots() * admittedFraction));
    return Math.max(0, slots - totalRunning());
  }

  boolean isCold(long nowNanos) {
    return nowNanos < coldUntilNanos;
  }

  /** Returns the expected time to the first event or the answer. */
  double firstAnswerNanos(CallSpec call, int sharedTokens) {
    if (!call.isStreaming()) {
      double busy = (double) totalRunning() / Math.max(1, upstream.slots());
      return serviceNanos * (1 + busy);
    }
    long tokens = totalPrefillTokens() + call.promptTokens() - sharedTokens;
    return FIRST_EVENT_NANOS + tokens * prefillNanosPerToken;
  }

  /** Notes a request with so many prompt tokens to read. */
  void sent(long tokensToRead) {
    running++;
    prefillTokens += tokensToRead;
  }

  /** Notes the first event of a request; {@code queuedTokens} were waiting when it was sent. */
  void firstEvent(long tokensToRead, long queuedTokens, long elapsedNanos) {
    prefillTokens = Math.max(0, prefillTokens - tokensToRead);
    long tokens = queuedTokens + tokensToRead;
    if (tokens >= MIN_LEARNED_TOKENS) {
      double observed = Math.max(0, elapsedNanos - FIRST_EVENT_NANOS) / tokens;
      prefillNanosPerToken = learn(prefillNanosPerToken, observed);
    }
  }

  void answered(long elapsedNanos) {
    serviceNanos = learn(serviceNanos, (double) elapsedNanos);
  }

  /** Notes the mean time between the events of an answer. */
  void eventsCame(double nanosPerEvent) {
    eventNanos = learn(eventNanos, nanosPerEvent);
  }

  private double learn(double known, double observed) {
    measured = true;
    return known + LEARNING_RATE * (Math.min(observed, known * MAX_STEP) - known);
  }

  /** Notes the end of a request, with the prompt tokens that were still to be read. */
  void ended(long tokensToRead) {
    running = Math.max(0, running - 1);
    prefillTokens = Math.max(0, prefillTokens - tokensToRead);
  }

  void unreachable(long nowNanos) {
    if (nowNanos < blockedUntilNanos) {
      // Requests sent before the first failure fail too and say nothing new.
      return;
    }
    blockedUntilNanos = nowNanos + UNREACHABLE_NANOS * unreachableFactor;
    unreachableFactor = Math.min(MAX_UNREACHABLE_FACTOR, 2 * unreachableFactor);
  }

  void heard(long nowNanos) {
    heardNanos = nowNanos;
    unreachableFactor = 1;
  }

  long heardNanos() {
    return heardNanos;
  }
}

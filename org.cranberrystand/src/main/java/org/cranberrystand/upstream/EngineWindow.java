package org.cranberrystand.upstream;

/**
 * Adaptive concurrency window of one engine, in sequences and tokens, and the work that this node
 * has at the engine.
 *
 * <p>The window is adjusted to the load reports of the engine, which arrive late, and to the
 * first-token delay and token gap that the node observes, relative to the unloaded values of the
 * same engine. The window shrinks within two adjustment intervals and grows slowly. It applies to
 * the engine as a whole; each node may use its share. Not thread-safe.
 */
public final class EngineWindow {
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1e3;
  private static final long ADJUST_INTERVAL_NANOS = 200_000_000;
  private static final double MIN_SEQUENCES = 2;
  private static final double MAX_SEQUENCES = 1_024;
  private static final double MIN_TOKENS = 4_096;

  /** A tenfold slowdown must cost 80% of the window within 2 s, which is 10 adjustments. */
  private static final double MAX_SHRINK_PER_ADJUSTMENT = 0.5;

  private static final double MIN_UTILIZATION_TO_GROW = 0.7;

  /** Growth per second before the first congestion. */
  private static final double INITIAL_GROWTH_PER_SECOND = 1.0;

  /** Growth per second after a congestion, up to the recovery size. */
  private static final double RECOVERY_GROWTH_PER_SECOND = 0.5;

  /** Growth per second above the recovery size. */
  private static final double PROBING_GROWTH_PER_SECOND = 0.06;

  private static final double MAX_PRESSURE_TO_GROW = 0.85;
  private static final double DELAY_SMOOTHING_FACTOR = 0.2;

  /** Some sequences always wait for their first step; only a larger number means a full engine. */
  private static final int TOLERATED_WAITING = 2;

  private static final double TOLERATED_WAITING_FRACTION = 0.05;

  /** The recovery size decays slowly, so that it adapts to a lasting loss of capacity. */
  private static final double RECOVERY_DECAY_PER_SECOND = 0.01;

  /** Size, relative to the size before a congestion, up to which the window recovers fast. */
  private static final double RECOVERY_FRACTION = 0.8;

  private final WindowSettings settings;
  private final EngineSpeedEstimate speed = new EngineSpeedEstimate();
  private double sequences;
  private double tokens;
  private double recoverySequences;
  private boolean congestedBefore;
  private double excessDelayNanos;
  private long lastAdjustNanos;
  private long lastTokenNanos;
  private long blockedUntilNanos = Long.MIN_VALUE;
  private long lastShrinkNanos = Long.MIN_VALUE;
  private boolean draining;
  private int reportedRunning;

  private int ownSequences;
  private int ownDecoding;
  private double ownTokens;
  private double pendingPrefillTokens;
  private double remainingOutputTokens;

  /**
   * Creates a window of the initial size.
   *
   * @param settings the limits
   * @param nowNanos the current time
   */
  public EngineWindow(WindowSettings settings, long nowNanos) {
    this.settings = settings;
    this.sequences = settings.initialSequences();
    this.tokens = settings.initialTokens();
    this.lastAdjustNanos = nowNanos;
    this.lastTokenNanos = nowNanos;
  }

  /**
   * Records that a request was dispatched to the engine.
   *
   * @param prefillTokens prompt tokens that need prefill
   * @param contextTokens tokens of the prompt and the expected output
   * @param outputTokens expected output tokens
   */
  public void dispatched(double prefillTokens, double contextTokens, double outputTokens) {
    ownSequences++;
    ownTokens += contextTokens;
    pendingPrefillTokens += prefillTokens;
    remainingOutputTokens += outputTokens;
  }

  /**
   * Records the first token of a request.
   *
   * @param prefillTokens the prefill tokens that were passed at the dispatch
   * @param pendingAtDispatch pending prefill tokens at the engine just after the dispatch
   * @param delayNanos the time since the dispatch
   * @param nowNanos the current time
   */
  public void firstToken(
      double prefillTokens, double pendingAtDispatch, long delayNanos, long nowNanos) {
    pendingPrefillTokens = Math.max(0, pendingPrefillTokens - prefillTokens);
    ownDecoding++;
    lastTokenNanos = nowNanos;
    double excess = Math.max(0, delayNanos - speed.unloadedDelayNanos(pendingAtDispatch));
    if (nowNanos - delayNanos >= lastShrinkNanos) {
      // The delay of an earlier dispatch does not reflect the window after it shrank.
      excessDelayNanos += DELAY_SMOOTHING_FACTOR * (excess - excessDelayNanos);
    }
    speed.firstToken(pendingAtDispatch, pendingAtDispatch <= prefillTokens, (double) delayNanos);
  }

  /**
   * Records further tokens of a request.
   *
   * @param count the number of new tokens
   * @param elapsedNanos the time since the previous tokens of the same request
   * @param nowNanos the current time
   */
  public void tokensProduced(int count, long elapsedNanos, long nowNanos) {
    lastTokenNanos = nowNanos;
    remainingOutputTokens = Math.max(0, remainingOutputTokens - count);
    if (count > 0 && elapsedNanos > 0) {
      speed.tokenGap((double) elapsedNanos / count, count);
    }
  }

  /**
   * Records the end of a request.
   *
   * @param unfinishedPrefillTokens prefill tokens that were still pending; 0 after the first token
   * @param contextTokens the context tokens that were passed at the dispatch
   * @param unproducedOutputTokens expected output tokens that were not produced
   * @param decoding whether the request had produced a token
   */
  public void ended(
      double unfinishedPrefillTokens,
      double contextTokens,
      double unproducedOutputTokens,
      boolean decoding) {
    ownSequences = Math.max(0, ownSequences - 1);
    ownTokens = ownSequences == 0 ? 0 : Math.max(0, ownTokens - contextTokens);
    pendingPrefillTokens =
        ownSequences == 0 ? 0 : Math.max(0, pendingPrefillTokens - unfinishedPrefillTokens);
    remainingOutputTokens =
        ownSequences == 0 ? 0 : Math.max(0, remainingOutputTokens - unproducedOutputTokens);
    if (decoding) {
      ownDecoding = Math.max(0, ownDecoding - 1);
    }
  }

  /**
   * Records the latency of a call to a plain service, which has neither prefill nor tokens. The
   * latency takes the place of the token gap.
   *
   * @param latencyNanos the time from dispatch to the answer
   * @param nowNanos the current time
   */
  public void callAnswered(long latencyNanos, long nowNanos) {
    lastTokenNanos = nowNanos;
    speed.tokenGap((double) latencyNanos, 1);
  }

  /**
   * Applies a load report of the engine. If more requests wait inside the engine than it tolerates,
   * the window is limited to the requests that are running.
   *
   * @param report the load at an earlier time
   */
  public void reported(LoadReport report) {
    reportedRunning = report.runningSequences();
    draining = report.draining();
    double toleratedWaiting =
        TOLERATED_WAITING + TOLERATED_WAITING_FRACTION * report.runningSequences();
    boolean afterLastShrink = report.observedAtNanos() >= lastShrinkNanos;
    if (settings.adaptive() && afterLastShrink && report.waitingSequences() > toleratedWaiting) {
      // Requests wait inside the engine, so it cannot run more than it does now.
      limitTo(report.runningSequences() + TOLERATED_WAITING);
    }
  }

  private void limitTo(double limit) {
    if (limit < sequences) {
      tokens =
          Math.max(MIN_TOKENS, tokens * Math.max(limit / sequences, MAX_SHRINK_PER_ADJUSTMENT));
      sequences = Math.max(MIN_SEQUENCES, limit);
      recoverySequences = Math.min(recoverySequences, sequences);
      congestedBefore = true;
    }
  }

  /**
   * Records that the engine refused a request. Shrinks the window and blocks it for a time.
   *
   * @param retryAfterMillis the retry delay that the engine asked for
   * @param nowNanos the current time
   */
  public void refused(long retryAfterMillis, long nowNanos) {
    if (settings.adaptive()) {
      shrink(1 / MAX_SHRINK_PER_ADJUSTMENT, nowNanos);
    }
    long delay = Math.max(ADJUST_INTERVAL_NANOS, (long) (retryAfterMillis * NANOS_PER_MILLI));
    blockedUntilNanos = nowNanos + delay;
  }

  /**
   * Adjusts the window to the observations since the last adjustment.
   *
   * @param share the share of this node, from 0 to 1
   * @param nowNanos the current time
   * @return true if the window grew
   */
  public boolean adjust(double share, long nowNanos) {
    long elapsed = nowNanos - lastAdjustNanos;
    if (elapsed < ADJUST_INTERVAL_NANOS) {
      return false;
    }
    lastAdjustNanos = nowNanos;
    if (!settings.adaptive()) {
      return false;
    }
    double seconds = elapsed / NANOS_PER_SECOND;
    if (ownDecoding > 0) {
      speed.stalled((double) (nowNanos - lastTokenNanos));
    }
    speed.drift(seconds);
    recoverySequences *= 1 - Math.min(1, seconds * RECOVERY_DECAY_PER_SECOND);
    double pressure = pressure();
    if (pressure > 1) {
      // Until work from before the last shrink has ended, the pressure does not reflect the new
      // size.
      if (ownSequences <= share * sequences + 1) {
        shrink(pressure, nowNanos);
      }
      return false;
    }
    excessDelayNanos *= 1 - Math.min(1, seconds * DELAY_SMOOTHING_FACTOR);
    return pressure < MAX_PRESSURE_TO_GROW && grow(share, Math.min(1, seconds));
  }

  private double pressure() {
    double result = excessDelayNanos / (settings.maxQueueMillis() * NANOS_PER_MILLI);
    if (speed.isTokenGapObserved() && ownDecoding > 0) {
      result = Math.max(result, speed.tokenGapNanos() / maxTokenGapNanos());
    }
    return result;
  }

  private double maxTokenGapNanos() {
    double unloadedGap = speed.unloadedTokenGapNanos();
    double relativeLimit = settings.maxSlowdown() * unloadedGap;
    double absoluteLimit = settings.maxTokenGapMillis() * NANOS_PER_MILLI;
    return Math.max(Math.min(relativeLimit, absoluteLimit), 1.5 * unloadedGap);
  }

  private void shrink(double pressure, long nowNanos) {
    double factor = Math.max(MAX_SHRINK_PER_ADJUSTMENT, 1 / pressure);
    recoverySequences = Math.max(recoverySequences, sequences * RECOVERY_FRACTION);
    lastShrinkNanos = nowNanos;
    sequences = Math.max(MIN_SEQUENCES, sequences * factor);
    tokens = Math.max(MIN_TOKENS, tokens * factor);
    congestedBefore = true;
    excessDelayNanos *= factor;
  }

  private boolean grow(double share, double seconds) {
    boolean utilized =
        ownSequences >= MIN_UTILIZATION_TO_GROW * Math.max(1, share * sequences)
            || ownTokens >= MIN_UTILIZATION_TO_GROW * share * tokens;
    if (!utilized || sequences >= MAX_SEQUENCES) {
      return false;
    }
    double rate = PROBING_GROWTH_PER_SECOND;
    if (!congestedBefore) {
      rate = INITIAL_GROWTH_PER_SECOND;
    } else if (sequences < recoverySequences) {
      rate = RECOVERY_GROWTH_PER_SECOND;
    }
    sequences = Math.min(MAX_SEQUENCES, sequences * (1 + rate * seconds));
    tokens *= 1 + rate * seconds;
    return true;
  }

  /**
   * Returns whether a request fits into this node's share of the window.
   *
   * @param share the share of this node
   * @param prefillTokens prompt tokens that need prefill
   * @param contextTokens tokens of the prompt and the expected output
   * @param prefillLimitFactor the factor by which pending prefill may exceed its limit
   * @param nowNanos the current time
   * @return true if the request may be dispatched
   */
  public boolean admits(
      double share,
      double prefillTokens,
      double contextTokens,
      double prefillLimitFactor,
      long nowNanos) {
    if (!hasFreeSequence(share, nowNanos)) {
      return false;
    }
    if (ownSequences == 0) {
      return true;
    }
    // The current rate is not used, because it already includes the work of other nodes.
    double prefillLimit =
        speed.unloadedPrefillTokensPerSecond()
            * share
            * prefillLimitFactor
            * settings.maxPrefillMillis()
            / MILLIS_PER_SECOND;
    return ownTokens + contextTokens <= share * tokens
        && pendingPrefillTokens + Math.min(prefillTokens, prefillLimit / 2) <= prefillLimit;
  }

  /**
   * Returns whether one more request, of any length, fits into this node's share of the window.
   *
   * @param share the share of this node
   * @param nowNanos the current time
   * @return false if no request may be dispatched
   */
  public boolean hasFreeSequence(double share, long nowNanos) {
    return !draining
        && nowNanos >= blockedUntilNanos
        && (ownSequences == 0 || ownSequences + 1 <= share * sequences);
  }

  /**
   * Returns the number of further requests that fit into this node's share of the window.
   *
   * @param share the share of this node
   * @return the number of requests, at least 0
   */
  public int freeSequences(double share) {
    if (draining) {
      return 0;
    }
    return Math.max(ownSequences == 0 ? 1 : 0, (int) (share * sequences) - ownSequences);
  }

  /**
   * Returns the estimated work at the engine if one more request is dispatched. The work of all
   * nodes is extrapolated from that of this node.
   *
   * @param share the share of this node
   * @param prefillTokens prompt tokens of the request that need prefill
   * @param outputTokens expected output tokens of the request
   * @return the work in seconds of engine time
   */
  public double workSeconds(double share, double prefillTokens, double outputTokens) {
    double scale = 1 / Math.max(share, 1e-3);
    double prefill =
        (pendingPrefillTokens * scale + prefillTokens) / speed.prefillTokensPerSecond();
    return prefill + (remainingOutputTokens * scale + outputTokens) / decodeTokensPerSecond();
  }

  /**
   * Returns the expected delay of the first token of a request that is dispatched now.
   *
   * @param prefillTokens prompt tokens that need prefill
   * @return the delay in nanoseconds
   */
  public double firstTokenNanos(double prefillTokens) {
    double work = (pendingPrefillTokens + prefillTokens) / speed.prefillTokensPerSecond();
    return work * NANOS_PER_SECOND + speed.tokenGapNanos() + excessDelayNanos;
  }

  /**
   * Returns the output rate of the whole engine with a full window.
   *
   * @return the rate in tokens per second
   */
  public double decodeTokensPerSecond() {
    return Math.max(1, sequences) / speed.tokenGapNanos() * NANOS_PER_SECOND;
  }

  public double prefillTokensPerSecond() {
    return speed.prefillTokensPerSecond();
  }

  public double tokenGapMillis() {
    return speed.tokenGapNanos() / NANOS_PER_MILLI;
  }

  public double windowSequences() {
    return sequences;
  }

  public double windowTokens() {
    return tokens;
  }

  public int ownSequences() {
    return ownSequences;
  }

  public double ownTokens() {
    return ownTokens;
  }

  public double pendingPrefillTokens() {
    return pendingPrefillTokens;
  }

  public int reportedRunning() {
    return reportedRunning;
  }

  public boolean isDraining() {
    return draining;
  }
}

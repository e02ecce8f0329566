package org.cranberrystand.upstream;

/**
 * Capacity of one upstream for new work, in sequences and tokens, and what this node has there.
 *
 * <p>The window follows stale load reports and the node's own observation of first-token delay and
 * token gap, relative to the unloaded figures of the same engine. It shrinks within two adjustment
 * intervals and grows slowly. The window is that of the whole engine; a node may use its share of
 * it. Not thread-safe.
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

  private static final double UTILISED = 0.7;

  /** Growth per second before the first congestion, back to half the last good size, and above. */
  private static final double START_GROWTH = 1.0;

  private static final double RECOVERY_GROWTH = 0.5;
  private static final double PROBING_GROWTH = 0.06;
  private static final double GROW_BELOW_PRESSURE = 0.85;
  private static final double DELAY_WEIGHT = 0.2;

  /** Some sequences wait at any moment for their first step; only more means a full engine. */
  private static final int TOLERATED_WAITING = 2;

  private static final double TOLERATED_WAITING_FRACTION = 0.05;

  /** The size to which a window recovers fast is forgotten slowly, for lasting changes. */
  private static final double RECOVERY_DECAY_PER_SECOND = 0.01;

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
   * Creates a window for an upstream about which nothing is known yet.
   *
   * @param settings the limits
   * @param nowNanos the time
   */
  public EngineWindow(WindowSettings settings, long nowNanos) {
    this.settings = settings;
    this.sequences = settings.initialSequences();
    this.tokens = settings.initialTokens();
    this.lastAdjustNanos = nowNanos;
    this.lastTokenNanos = nowNanos;
  }

  /**
   * Notes a dispatch.
   *
   * @param prefillTokens prompt tokens to compute
   * @param contextTokens prompt and expected output
   * @param outputTokens expected output
   */
  public void dispatched(double prefillTokens, double contextTokens, double outputTokens) {
    ownSequences++;
    ownTokens += contextTokens;
    pendingPrefillTokens += prefillTokens;
    remainingOutputTokens += outputTokens;
  }

  /**
   * Notes the first token of a request.
   *
   * @param prefillTokens the prompt tokens given when it was dispatched
   * @param pendingAtDispatch prefill work at the engine after the dispatch, in tokens
   * @param delayNanos time since the dispatch
   * @param nowNanos the time
   */
  public void firstToken(
      double prefillTokens, double pendingAtDispatch, long delayNanos, long nowNanos) {
    pendingPrefillTokens = Math.max(0, pendingPrefillTokens - prefillTokens);
    ownDecoding++;
    lastTokenNanos = nowNanos;
    double excess = Math.max(0, delayNanos - speed.unloadedDelayNanos(pendingAtDispatch));
    if (nowNanos - delayNanos >= lastShrinkNanos) {
      // Earlier dispatches say nothing about the window after it shrank.
      excessDelayNanos += DELAY_WEIGHT * (excess - excessDelayNanos);
    }
    speed.firstToken(pendingAtDispatch, pendingAtDispatch <= prefillTokens, (double) delayNanos);
  }

  /**
   * Notes further tokens of a request.
   *
   * @param count the number of new tokens
   * @param elapsedNanos time since the previous tokens of the same request
   * @param nowNanos the time
   */
  public void tokensProduced(int count, long elapsedNanos, long nowNanos) {
    lastTokenNanos = nowNanos;
    remainingOutputTokens = Math.max(0, remainingOutputTokens - count);
    if (count > 0 && elapsedNanos > 0) {
      speed.gap((double) elapsedNanos / count, count);
    }
  }

  /**
   * Notes the end of a request.
   *
   * @param pendingPrefill prompt tokens that were not computed yet, 0 after the first token
   * @param contextTokens the context given when it was dispatched
   * @param remainingOutput expected output that will not come
   * @param decoding whether it had produced a token
   */
  public void ended(
      double pendingPrefill, double contextTokens, double remainingOutput, boolean decoding) {
    ownSequences = Math.max(0, ownSequences - 1);
    ownTokens = ownSequences == 0 ? 0 : Math.max(0, ownTokens - contextTokens);
    pendingPrefillTokens =
        ownSequences == 0 ? 0 : Math.max(0, pendingPrefillTokens - pendingPrefill);
    remainingOutputTokens =
        ownSequences == 0 ? 0 : Math.max(0, remainingOutputTokens - remainingOutput);
    if (decoding) {
      ownDecoding = Math.max(0, ownDecoding - 1);
    }
  }

  /**
   * Notes the latency of a call to a plain service, which has neither prefill nor tokens.
   *
   * @param latencyNanos the time from dispatch to the answer
   * @param nowNanos the time
   */
  public void callAnswered(long latencyNanos, long nowNanos) {
    lastTokenNanos = nowNanos;
    speed.gap((double) latencyNanos, 1);
  }

  /**
   * Takes a load report into account.
   *
   * @param report the figures, true at an earlier time
   */
  public void reported(LoadReport report) {
    reportedRunning = report.runningSequences();
    draining = report.draining();
    double tolerated = TOLERATED_WAITING + TOLERATED_WAITING_FRACTION * report.runningSequences();
    boolean fresh = report.observedAtNanos() >= lastShrinkNanos;
    if (settings.adaptive() && fresh && report.waitingSequences() > tolerated) {
      // Requests wait inside the engine, so what it runs is all that it can run.
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
   * Takes a refusal into account.
   *
   * @param retryAfterMillis the delay that the upstream asked for
   * @param nowNanos the time
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
   * @param share the share of this node
   * @param nowNanos the time
   * @return whether the window grew
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
      // While work is left from before the last shrink, nothing new is known about the window.
      if (ownSequences <= share * sequences + 1) {
        shrink(pressure, nowNanos);
      }
      return false;
    }
    excessDelayNanos *= 1 - Math.min(1, seconds * DELAY_WEIGHT);
    return pressure < GROW_BELOW_PRESSURE && grow(share, Math.min(1, seconds));
  }

  private double pressure() {
    double result = excessDelayNanos / (settings.maxQueueMillis() * NANOS_PER_MILLI);
    if (speed.isGapKnown() && ownDecoding > 0) {
      result = Math.max(result, speed.gapNanos() / targetGapNanos());
    }
    return result;
  }

  private double targetGapNanos() {
    double unloaded = speed.unloadedGapNanos();
    double relative = settings.maxSlowdown() * unloaded;
    double absolute = settings.maxTokenGapMillis() * NANOS_PER_MILLI;
    return Math.max(Math.min(relative, absolute), 1.5 * unloaded);
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
    boolean utilised =
        ownSequences >= UTILISED * Math.max(1, share * sequences)
            || ownTokens >= UTILISED * share * tokens;
    if (!utilised || sequences >= MAX_SEQUENCES) {
      return false;
    }
    double rate = PROBING_GROWTH;
    if (!congestedBefore) {
      rate = START_GROWTH;
    } else if (sequences < recoverySequences) {
      rate = RECOVERY_GROWTH;
    }
    sequences = Math.min(MAX_SEQUENCES, sequences * (1 + rate * seconds));
    tokens *= 1 + rate * seconds;
    return true;
  }

  /**
   * Tells whether a request fits the share of this node.
   *
   * @param share the share of this node
   * @param prefillTokens prompt tokens to compute
   * @param contextTokens prompt and expected output
   * @param prefillLimitFactor the factor by which pending prefill may exceed its limit
   * @param nowNanos the time
   * @return true if it may be dispatched
   */
  public boolean admits(
      double share,
      double prefillTokens,
      double contextTokens,
      double prefillLimitFactor,
      long nowNanos) {
    if (!hasSequence(share, nowNanos)) {
      return false;
    }
    if (ownSequences == 0) {
      return true;
    }
    // Not the present rate, which holds the work of other nodes already.
    double prefillLimit =
        speed.unloadedPrefillRate()
            * share
            * prefillLimitFactor
            * settings.maxPrefillMillis()
            / MILLIS_PER_SECOND;
    return ownTokens + contextTokens <= share * tokens
        && pendingPrefillTokens + Math.min(prefillTokens, prefillLimit / 2) <= prefillLimit;
  }

  /**
   * Tells whether one more request fits the share of this node, whatever its length.
   *
   * @param share the share of this node
   * @param nowNanos the time
   * @return false if no request may be dispatched
   */
  public boolean hasSequence(double share, long nowNanos) {
    return !draining
        && nowNanos >= blockedUntilNanos
        && (ownSequences == 0 || ownSequences + 1 <= share * sequences);
  }

  /**
   * Returns the number of requests that this node may still start.
   *
   * @param share the share of this node
   * @return the number, from 0
   */
  public int freeSequences(double share) {
    if (draining) {
      return 0;
    }
    return Math.max(ownSequences == 0 ? 1 : 0, (int) (share * sequences) - ownSequences);
  }

  /**
   * Returns the work that this node has at the engine, scaled to all nodes, and one more request.
   *
   * @param share the share of this node
   * @param prefillTokens prompt tokens of the request that would have to be computed
   * @param outputTokens expected output of the request
   * @return the work in seconds of the engine
   */
  public double workSeconds(double share, double prefillTokens, double outputTokens) {
    double scale = 1 / Math.max(share, 1e-3);
    double prefill = (pendingPrefillTokens * scale + prefillTokens) / speed.prefillRate();
    return prefill + (remainingOutputTokens * scale + outputTokens) / decodeRate();
  }

  /**
   * Returns the expected delay of the first token of a request that is dispatched now.
   *
   * @param prefillTokens prompt tokens to compute
   * @return the delay in nanoseconds
   */
  public double firstTokenNanos(double prefillTokens) {
    double work = (pendingPrefillTokens + prefillTokens) / speed.prefillRate();
    return work * NANOS_PER_SECOND + speed.gapNanos() + excessDelayNanos;
  }

  /**
   * Returns the output rate of the whole engine when its window is full.
   *
   * @return the rate in tokens per second
   */
  public double decodeRate() {
    return Math.max(1, sequences) / speed.gapNanos() * NANOS_PER_SECOND;
  }

  public double prefillRate() {
    return speed.prefillRate();
  }

  public double gapMillis() {
    return speed.gapNanos() / NANOS_PER_MILLI;
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

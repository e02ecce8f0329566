package org.cranberrystand.upstream;

/**
 * Settings of an {@link EngineWindow}.
 *
 * @param adaptive whether the window adapts to observations; otherwise it keeps its initial size
 * @param initialSequences the initial window in sequences
 * @param initialTokens the initial window in tokens
 * @param maxTokenGapMillis the gap between tokens above which the window shrinks, in milliseconds
 * @param maxSlowdown the multiple of the unloaded token gap above which the window shrinks
 * @param maxQueueMillis the first-token delay in excess of the unloaded delay above which the
 *     window shrinks, in milliseconds
 * @param maxPrefillMillis the limit of pending prefill work at the engine, in milliseconds
 */
public record WindowSettings(
    boolean adaptive,
    double initialSequences,
    double initialTokens,
    double maxTokenGapMillis,
    double maxSlowdown,
    double maxQueueMillis,
    double maxPrefillMillis) {

  /** Settings for a latency target of 74 ms between tokens and 1.7 s to the first token. */
  public static final WindowSettings DEFAULT = new WindowSettings(true, 8, 50_000, 62, 7, 600, 600);
}

package org.cranberrystand.upstream;

/**
 * Limits that an {@link EngineWindow} holds an engine to.
 *
 * @param adaptive whether the window follows observations; if not, it keeps its initial size
 * @param initialSequences the window before anything was observed, in sequences
 * @param initialTokens the window before anything was observed, in tokens
 * @param maxTokenGapMillis the gap between tokens above which the window shrinks, in milliseconds
 * @param maxSlowdown the multiple of the unloaded token gap above which the window shrinks
 * @param maxQueueMillis the unexplained first-token delay above which the window shrinks
 * @param maxPrefillMillis the prefill work kept at the engine, in milliseconds
 */
public record WindowSettings(
    boolean adaptive,
    double initialSequences,
    double initialTokens,
    double maxTokenGapMillis,
    double maxSlowdown,
    double maxQueueMillis,
    double maxPrefillMillis) {

  /** Settings for the planned latency of 74 ms between tokens and 1.7 s to the first token. */
  public static final WindowSettings DEFAULT = new WindowSettings(true, 8, 50_000, 62, 7, 600, 600);
}

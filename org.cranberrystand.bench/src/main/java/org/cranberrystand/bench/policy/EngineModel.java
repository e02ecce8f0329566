package org.cranberrystand.bench.policy;

/**
 * Speed and limits of a simulated model engine.
 *
 * <p>An engine works in steps. A step lasts {@code base + perSequence * decoding + perContextToken
 * * context + perPrefillToken * chunk}, so prefill and decode slow each other down.
 *
 * @param label the hardware generation
 * @param baseMicros fixed duration of a step
 * @param perSequenceMicros time for one token of one decoding sequence
 * @param perContextTokenNanos time for reading one token of context during decode
 * @param perPrefillTokenMicros time for computing one prompt token
 * @param chunkTokens prompt tokens computed in one step at most
 * @param maxSequences sequences in one batch at most
 * @param kvTokens tokens of context that running sequences may hold
 * @param cacheBlocks prompt blocks kept for reuse
 */
record EngineModel(
    String label,
    double baseMicros,
    double perSequenceMicros,
    double perContextTokenNanos,
    double perPrefillTokenMicros,
    int chunkTokens,
    int maxSequences,
    int kvTokens,
    int cacheBlocks) {

  /** Tokens in one prompt block. */
  static final int BLOCK_TOKENS = 128;

  /** The newer generation: 10,000 prompt tokens per second unloaded. */
  static final EngineModel FAST =
      new EngineModel("fast", 10_000, 300, 20, 80, 512, 32, 128_000, 480);

  /** The older generation: about half as fast. */
  static final EngineModel SLOW =
      new EngineModel("slow", 16_000, 500, 35, 150, 256, 24, 96_000, 360);

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double NANOS_PER_MICRO = 1e3;

  /** Returns the duration of one step in microseconds. */
  double stepMicros(int decoding, long contextTokens, int prefillTokens) {
    return baseMicros
        + perSequenceMicros * decoding
        + perContextTokenNanos * contextTokens / NANOS_PER_MICRO
        + perPrefillTokenMicros * prefillTokens;
  }

  /**
   * Returns the number of sequences of the given context that decode in a full batch.
   *
   * <p>One place is taken by the sequence whose prompt is being computed.
   */
  double fullBatch(double contextTokens) {
    return Math.max(1, Math.min(maxSequences, kvTokens / contextTokens) - 1);
  }

  /**
   * Returns the engine time one request costs in a full batch of its like.
   *
   * <p>Prefill and decode share steps, so the fixed duration is paid for the larger number of steps
   * of the two.
   *
   * @param prefillTokens prompt tokens that are not cached
   * @param promptTokens all prompt tokens
   * @param outputTokens tokens to produce
   * @return seconds
   */
  double costSeconds(double prefillTokens, double promptTokens, double outputTokens) {
    double context = promptTokens + outputTokens / 2;
    double batch = fullBatch(promptTokens + outputTokens);
    double steps = Math.max(prefillTokens / chunkTokens, outputTokens / batch);
    double decode =
        outputTokens * (perSequenceMicros + perContextTokenNanos * context / NANOS_PER_MICRO);
    return (baseMicros * steps + decode + perPrefillTokenMicros * prefillTokens)
        / MICROS_PER_SECOND;
  }
}

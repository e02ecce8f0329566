package org.cranberrystand.bench.policy;

/**
 * Performance model of a simulated model engine.
 *
 * <p>An engine computes its batch in steps. A step takes {@code base + perSequence * decoding +
 * perContextToken * context + perPrefillToken * chunk}, so prefill and decode slow each other down.
 *
 * @param label the name of the hardware generation
 * @param baseMicros fixed duration of a step
 * @param perSequenceMicros time for one token of one decoding sequence
 * @param perContextTokenNanos time for reading one token of context during decode
 * @param perPrefillTokenMicros time for computing one prompt token
 * @param maxChunkTokens the maximum number of prompt tokens computed in one step
 * @param maxSequences the maximum number of sequences in one batch
 * @param kvCacheTokens the capacity of the KV cache for the running sequences, in tokens
 * @param prefixCacheBlocks the capacity of the prefix cache, in blocks
 */
record EngineModel(
    String label,
    double baseMicros,
    double perSequenceMicros,
    double perContextTokenNanos,
    double perPrefillTokenMicros,
    int maxChunkTokens,
    int maxSequences,
    int kvCacheTokens,
    int prefixCacheBlocks) {

  /** Size of a prompt block in tokens. */
  static final int BLOCK_TOKENS = 128;

  /** The newer generation: about 10,000 prompt tokens per second when idle. */
  static final EngineModel FAST =
      new EngineModel("fast", 10_000, 300, 20, 80, 512, 32, 128_000, 480);

  /** The older generation: about half as fast. */
  static final EngineModel SLOW =
      new EngineModel("slow", 16_000, 500, 35, 150, 256, 24, 96_000, 360);

  private static final double MICROS_PER_SECOND = 1e6;
  private static final double NANOS_PER_MICRO = 1e3;

  /** Returns the duration of one step in microseconds. */
  double stepMicros(int decodingSequences, long contextTokens, int prefillTokens) {
    return baseMicros
        + perSequenceMicros * decodingSequences
        + perContextTokenNanos * contextTokens / NANOS_PER_MICRO
        + perPrefillTokenMicros * prefillTokens;
  }

  /**
   * Returns the number of sequences that decode in a full batch.
   *
   * <p>One slot of the batch is left for the sequence in prefill.
   *
   * @param contextTokens the context length of each sequence
   */
  double maxDecodingSequences(double contextTokens) {
    return Math.max(1, Math.min(maxSequences, kvCacheTokens / contextTokens) - 1);
  }

  /**
   * Returns the engine time that one request costs in a full batch of identical requests.
   *
   * <p>Prefill and decode share steps, so the fixed duration counts for the larger of their two
   * numbers of steps.
   *
   * @param prefillTokens prompt tokens that are not cached
   * @param promptTokens all prompt tokens, cached or not
   * @param outputTokens tokens to produce
   * @return seconds
   */
  double costSeconds(double prefillTokens, double promptTokens, double outputTokens) {
    double meanContextTokens = promptTokens + outputTokens / 2;
    double decodingSequences = maxDecodingSequences(promptTokens + outputTokens);
    double steps = Math.max(prefillTokens / maxChunkTokens, outputTokens / decodingSequences);
    double decodeMicros =
        outputTokens
            * (perSequenceMicros + perContextTokenNanos * meanContextTokens / NANOS_PER_MICRO);
    return (baseMicros * steps + decodeMicros + perPrefillTokenMicros * prefillTokens)
        / MICROS_PER_SECOND;
  }
}

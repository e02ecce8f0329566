package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.EnumSet;
import org.cranberrystand.placement.CacheGapPolicy;
import org.cranberrystand.upstream.WindowSettings;

/**
 * Switches and limits of the dispatch policy.
 *
 * <p>Immutable.
 */
public final class SchedulerOptions {
  private static final int DEFAULT_QUEUE_REQUESTS = 4_000;
  private static final long DEFAULT_QUEUE_TOKENS = 8_000_000;
  private static final int DEFAULT_LONG_PREFILL_TOKENS = 4_096;
  private static final int DEFAULT_NODES_PER_ENGINE = 8;
  private static final int DEFAULT_BLOCK_TOKENS = 128;
  private static final int DEFAULT_BLOCKS_PER_ENGINE = 2_048;

  private final ImmutableSet<SchedulerFeature> features;
  private final WindowSettings windowSettings;
  private final CacheGapPolicy cacheGapPolicy;
  private final int queueRequests;
  private final long queueTokens;
  private final int longPrefillTokens;
  private final int nodesPerEngine;
  private final int blockTokens;
  private final int blocksPerEngine;
  private final long seed;

  private SchedulerOptions(Builder builder) {
    this.features = Sets.immutableEnumSet(builder.features);
    this.windowSettings = builder.windowSettings;
    this.cacheGapPolicy = builder.cacheGapPolicy;
    this.queueRequests = builder.queueRequests;
    this.queueTokens = builder.queueTokens;
    this.longPrefillTokens = builder.longPrefillTokens;
    this.nodesPerEngine = builder.nodesPerEngine;
    this.blockTokens = builder.blockTokens;
    this.blocksPerEngine = builder.blocksPerEngine;
    this.seed = builder.seed;
  }

  /**
   * Returns options with all features on.
   *
   * @return the options that nodes use
   */
  public static SchedulerOptions defaults() {
    return builder().build();
  }

  /**
   * Starts building options.
   *
   * @return a builder with all features on
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Tells whether a feature is on.
   *
   * @param feature the feature
   * @return true if it is on
   */
  public boolean has(SchedulerFeature feature) {
    return features.contains(feature);
  }

  public WindowSettings windowSettings() {
    return windowSettings;
  }

  public CacheGapPolicy cacheGapPolicy() {
    return cacheGapPolicy;
  }

  public int queueRequests() {
    return queueRequests;
  }

  public long queueTokens() {
    return queueTokens;
  }

  public int longPrefillTokens() {
    return longPrefillTokens;
  }

  public int nodesPerEngine() {
    return nodesPerEngine;
  }

  public int blockTokens() {
    return blockTokens;
  }

  public int blocksPerEngine() {
    return blocksPerEngine;
  }

  public long seed() {
    return seed;
  }

  /** Builder of {@link SchedulerOptions}. Not thread-safe. */
  public static final class Builder {
    private final EnumSet<SchedulerFeature> features = EnumSet.allOf(SchedulerFeature.class);
    private WindowSettings windowSettings = WindowSettings.DEFAULT;
    private CacheGapPolicy cacheGapPolicy = CacheGapPolicy.UNCERTAIN;
    private int queueRequests = DEFAULT_QUEUE_REQUESTS;
    private long queueTokens = DEFAULT_QUEUE_TOKENS;
    private int longPrefillTokens = DEFAULT_LONG_PREFILL_TOKENS;
    private int nodesPerEngine = DEFAULT_NODES_PER_ENGINE;
    private int blockTokens = DEFAULT_BLOCK_TOKENS;
    private int blocksPerEngine = DEFAULT_BLOCKS_PER_ENGINE;
    private long seed = 1;

    private Builder() {}

    /**
     * Switches a feature off.
     *
     * @param feature the feature
     * @return this builder
     */
    public Builder without(SchedulerFeature feature) {
      features.remove(feature);
      return this;
    }

    /**
     * Switches a feature on.
     *
     * @param feature the feature
     * @return this builder
     */
    public Builder with(SchedulerFeature feature) {
      features.add(feature);
      return this;
    }

    /**
     * Sets the limits of the engine windows.
     *
     * @param value the limits
     * @return this builder
     */
    public Builder windowSettings(WindowSettings value) {
      this.windowSettings = value;
      return this;
    }

    /**
     * Sets what happens to prefix entries after lost cache events.
     *
     * @param value the policy
     * @return this builder
     */
    public Builder cacheGapPolicy(CacheGapPolicy value) {
      this.cacheGapPolicy = value;
      return this;
    }

    /**
     * Sets the limits of the queue of one tier of one pool.
     *
     * @param requests the limit in requests
     * @param tokens the limit in tokens
     * @return this builder
     */
    public Builder queueLimits(int requests, long tokens) {
      this.queueRequests = requests;
      this.queueTokens = tokens;
      return this;
    }

    /**
     * Sets the prompt length from which a prefill counts as long.
     *
     * @param value the length in tokens
     * @return this builder
     */
    public Builder longPrefillTokens(int value) {
      this.longPrefillTokens = value;
      return this;
    }

    /**
     * Sets how many nodes use one engine.
     *
     * @param value the number of nodes
     * @return this builder
     */
    public Builder nodesPerEngine(int value) {
      this.nodesPerEngine = value;
      return this;
    }

    /**
     * Sets the size of a prefix block.
     *
     * @param tokens the size in tokens
     * @param perEngine the bound on remembered blocks per engine
     * @return this builder
     */
    public Builder prefixBlocks(int tokens, int perEngine) {
      this.blockTokens = tokens;
      this.blocksPerEngine = perEngine;
      return this;
    }

    /**
     * Sets the seed of the jitter.
     *
     * @param value the seed
     * @return this builder
     */
    public Builder seed(long value) {
      this.seed = value;
      return this;
    }

    /**
     * Builds the options.
     *
     * @return immutable options
     */
    public SchedulerOptions build() {
      return new SchedulerOptions(this);
    }
  }
}

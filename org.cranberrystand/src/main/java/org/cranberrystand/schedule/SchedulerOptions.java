package org.cranberrystand.schedule;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.EnumSet;
import org.cranberrystand.placement.CacheGapPolicy;
import org.cranberrystand.upstream.WindowSettings;

/**
 * Enabled features and limits of the dispatch policy.
 *
 * <p>Immutable.
 */
public final class SchedulerOptions {
  private static final int DEFAULT_MAX_QUEUED_REQUESTS = 4_000;
  private static final long DEFAULT_MAX_QUEUED_TOKENS = 8_000_000;
  private static final int DEFAULT_LONG_PREFILL_TOKENS = 4_096;
  private static final int DEFAULT_NODES_PER_ENGINE = 8;
  private static final int DEFAULT_BLOCK_TOKENS = 128;
  private static final int DEFAULT_MAX_BLOCKS_PER_ENGINE = 2_048;

  private final ImmutableSet<SchedulerFeature> features;
  private final WindowSettings windowSettings;
  private final CacheGapPolicy cacheGapPolicy;
  private final int maxQueuedRequests;
  private final long maxQueuedTokens;
  private final int longPrefillTokens;
  private final int nodesPerEngine;
  private final int blockTokens;
  private final int maxBlocksPerEngine;
  private final long seed;

  private SchedulerOptions(Builder builder) {
    this.features = Sets.immutableEnumSet(builder.features);
    this.windowSettings = builder.windowSettings;
    this.cacheGapPolicy = builder.cacheGapPolicy;
    this.maxQueuedRequests = builder.maxQueuedRequests;
    this.maxQueuedTokens = builder.maxQueuedTokens;
    this.longPrefillTokens = builder.longPrefillTokens;
    this.nodesPerEngine = builder.nodesPerEngine;
    this.blockTokens = builder.blockTokens;
    this.maxBlocksPerEngine = builder.maxBlocksPerEngine;
    this.seed = builder.seed;
  }

  /**
   * Returns the default options, with all features enabled.
   *
   * @return the options that nodes use
   */
  public static SchedulerOptions defaults() {
    return builder().build();
  }

  /**
   * Creates a builder.
   *
   * @return a builder with default limits and all features enabled
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns whether a feature is enabled.
   *
   * @param feature the feature
   * @return true if the feature is enabled
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

  public int maxQueuedRequests() {
    return maxQueuedRequests;
  }

  public long maxQueuedTokens() {
    return maxQueuedTokens;
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

  public int maxBlocksPerEngine() {
    return maxBlocksPerEngine;
  }

  public long seed() {
    return seed;
  }

  /** Builder of {@link SchedulerOptions}. Not thread-safe. */
  public static final class Builder {
    private final EnumSet<SchedulerFeature> features = EnumSet.allOf(SchedulerFeature.class);
    private WindowSettings windowSettings = WindowSettings.DEFAULT;
    private CacheGapPolicy cacheGapPolicy = CacheGapPolicy.UNCERTAIN;
    private int maxQueuedRequests = DEFAULT_MAX_QUEUED_REQUESTS;
    private long maxQueuedTokens = DEFAULT_MAX_QUEUED_TOKENS;
    private int longPrefillTokens = DEFAULT_LONG_PREFILL_TOKENS;
    private int nodesPerEngine = DEFAULT_NODES_PER_ENGINE;
    private int blockTokens = DEFAULT_BLOCK_TOKENS;
    private int maxBlocksPerEngine = DEFAULT_MAX_BLOCKS_PER_ENGINE;
    private long seed = 1;

    private Builder() {}

    /**
     * Disables a feature.
     *
     * @param feature the feature
     * @return this builder
     */
    public Builder without(SchedulerFeature feature) {
      features.remove(feature);
      return this;
    }

    /**
     * Enables a feature.
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
     * Sets how the prefix index treats its entries after cache events were lost.
     *
     * @param value the policy
     * @return this builder
     */
    public Builder cacheGapPolicy(CacheGapPolicy value) {
      this.cacheGapPolicy = value;
      return this;
    }

    /**
     * Sets the limits of each queue; there is one queue per tier and pool.
     *
     * @param requests the limit in requests
     * @param tokens the limit in tokens
     * @return this builder
     */
    public Builder queueLimits(int requests, long tokens) {
      this.maxQueuedRequests = requests;
      this.maxQueuedTokens = tokens;
      return this;
    }

    /**
     * Sets the minimum prompt length of a long prefill.
     *
     * @param value the length in tokens
     * @return this builder
     */
    public Builder longPrefillTokens(int value) {
      this.longPrefillTokens = value;
      return this;
    }

    /**
     * Sets how many nodes use each engine when nodes use subsets of the engines.
     *
     * @param value the number of nodes
     * @return this builder
     */
    public Builder nodesPerEngine(int value) {
      this.nodesPerEngine = value;
      return this;
    }

    /**
     * Sets the size of the prefix blocks and the capacity of the prefix index.
     *
     * @param tokens the size in tokens
     * @param maxPerEngine the maximum number of indexed blocks per engine
     * @return this builder
     */
    public Builder prefixBlocks(int tokens, int maxPerEngine) {
      this.blockTokens = tokens;
      this.maxBlocksPerEngine = maxPerEngine;
      return this;
    }

    /**
     * Sets the seed of the jitter of retry delays and ejections.
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

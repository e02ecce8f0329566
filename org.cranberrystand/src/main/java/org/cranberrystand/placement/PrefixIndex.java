package org.cranberrystand.placement;

import com.google.common.primitives.ImmutableLongArray;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Index of the prompt prefix blocks that engines probably hold in their prefix caches.
 *
 * <p>The index is updated by the dispatches of this node and by the cache events of the engines.
 * The number of blocks per engine is bounded, with LRU eviction. Not thread-safe.
 */
public final class PrefixIndex {
  private static final float LOAD_FACTOR = 0.75f;

  private final class EngineBlocks extends LinkedHashMap<Long, Integer> {
    private static final long serialVersionUID = 1;

    /** The number of gaps in the cache events so far; entries of earlier epochs are uncertain. */
    private int epoch;

    EngineBlocks() {
      super(16, LOAD_FACTOR, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Integer> eldest) {
      return size() > maxBlocksPerEngine;
    }
  }

  private final int maxBlocksPerEngine;
  private final CacheGapPolicy gapPolicy;
  private final Map<String, EngineBlocks> engines = new HashMap<>();

  /**
   * Creates an empty index.
   *
   * @param maxBlocksPerEngine the maximum number of blocks per engine
   * @param gapPolicy how to treat entries after lost cache events
   */
  public PrefixIndex(int maxBlocksPerEngine, CacheGapPolicy gapPolicy) {
    this.maxBlocksPerEngine = maxBlocksPerEngine;
    this.gapPolicy = gapPolicy;
  }

  /**
   * Records that an engine stores the blocks of a prompt, which it computes and then caches.
   *
   * @param engine the name of the engine
   * @param blocks the hashes of the blocks, each cumulative over the prefix that the block ends
   */
  public void recordStored(String engine, ImmutableLongArray blocks) {
    if (blocks.isEmpty()) {
      return;
    }
    EngineBlocks indexed = engines.computeIfAbsent(engine, name -> new EngineBlocks());
    for (int i = blocks.length() - 1; i >= 0; i--) {
      indexed.put(blocks.get(i), indexed.epoch);
    }
  }

  /**
   * Applies cache events of an engine.
   *
   * @param engine the name of the engine
   * @param stored hashes of blocks that were stored
   * @param evicted hashes of blocks that were evicted, applied after the stored ones
   * @param gap whether earlier events were lost
   */
  public void applyCacheEvents(
      String engine, ImmutableLongArray stored, ImmutableLongArray evicted, boolean gap) {
    EngineBlocks indexed = engines.computeIfAbsent(engine, name -> new EngineBlocks());
    if (gap && gapPolicy == CacheGapPolicy.DROP) {
      indexed.clear();
    } else if (gap) {
      indexed.epoch++;
    }
    recordStored(engine, stored);
    for (int i = 0; i < evicted.length(); i++) {
      indexed.remove(evicted.get(i));
    }
  }

  /**
   * Removes all blocks of an engine, for example after its restart.
   *
   * @param engine the name of the engine
   */
  public void removeEngine(String engine) {
    engines.remove(engine);
  }

  /**
   * Returns the expected number of leading blocks of a prompt that an engine has cached.
   *
   * @param engine the name of the engine
   * @param blocks the hashes of the blocks, each cumulative over the prefix that the block ends
   * @return the number of blocks, with uncertain ones weighted by their confidence
   */
  public double cachedBlocks(String engine, ImmutableLongArray blocks) {
    EngineBlocks indexed = engines.get(engine);
    if (indexed == null || blocks.isEmpty()) {
      return 0;
    }
    double expectedBlocks = 0;
    for (int i = 0; i < blocks.length(); i++) {
      Integer epoch = indexed.get(blocks.get(i));
      if (epoch == null) {
        break;
      }
      expectedBlocks += epoch == indexed.epoch ? 1 : gapPolicy.confidence();
    }
    return expectedBlocks;
  }

  /**
   * Returns the number of blocks in the index.
   *
   * @return the sum over all engines
   */
  public int blockCount() {
    return engines.values().stream().mapToInt(Map::size).sum();
  }
}

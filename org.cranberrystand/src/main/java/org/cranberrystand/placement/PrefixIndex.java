package org.cranberrystand.placement;

import com.google.common.primitives.ImmutableLongArray;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Prefix blocks that engines probably hold in their cache.
 *
 * <p>Learns from this node's own dispatches and from the cache events of the engines. The number of
 * blocks per engine is bounded; the least recently used are forgotten first. Not thread-safe.
 */
public final class PrefixIndex {
  private static final float LOAD_FACTOR = 0.75f;

  private final class EngineBlocks extends LinkedHashMap<Long, Integer> {
    private static final long serialVersionUID = 1;
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
   * @param maxBlocksPerEngine the bound on remembered blocks per engine
   * @param gapPolicy what to do after lost events
   */
  public PrefixIndex(int maxBlocksPerEngine, CacheGapPolicy gapPolicy) {
    this.maxBlocksPerEngine = maxBlocksPerEngine;
    this.gapPolicy = gapPolicy;
  }

  /**
   * Notes that an engine computes a prompt, after which its cache holds the blocks.
   *
   * @param engine the name of the engine
   * @param blocks the cumulative hashes of the blocks
   */
  public void stored(String engine, ImmutableLongArray blocks) {
    if (blocks.isEmpty()) {
      return;
    }
    EngineBlocks known = engines.computeIfAbsent(engine, name -> new EngineBlocks());
    for (int i = blocks.length() - 1; i >= 0; i--) {
      known.put(blocks.get(i), known.epoch);
    }
  }

  /**
   * Takes cache events of an engine into account.
   *
   * @param engine the name of the engine
   * @param stored blocks that were stored
   * @param evicted blocks that were evicted
   * @param gap whether events before these were lost
   */
  public void reported(
      String engine, ImmutableLongArray stored, ImmutableLongArray evicted, boolean gap) {
    EngineBlocks known = engines.computeIfAbsent(engine, name -> new EngineBlocks());
    if (gap && gapPolicy == CacheGapPolicy.DROP) {
      known.clear();
    } else if (gap) {
      known.epoch++;
    }
    stored(engine, stored);
    for (int i = 0; i < evicted.length(); i++) {
      known.remove(evicted.get(i));
    }
  }

  /**
   * Forgets an engine, for example after a restart.
   *
   * @param engine the name of the engine
   */
  public void forget(String engine) {
    engines.remove(engine);
  }

  /**
   * Returns how many leading blocks of a prompt an engine probably holds.
   *
   * @param engine the name of the engine
   * @param blocks the cumulative hashes of the blocks
   * @return the expected number; uncertain blocks count in part
   */
  public double cachedBlocks(String engine, ImmutableLongArray blocks) {
    EngineBlocks known = engines.get(engine);
    if (known == null || blocks.isEmpty()) {
      return 0;
    }
    double result = 0;
    for (int i = 0; i < blocks.length(); i++) {
      Integer epoch = known.get(blocks.get(i));
      if (epoch == null) {
        break;
      }
      result += epoch == known.epoch ? 1 : gapPolicy.confidence();
    }
    return result;
  }

  /**
   * Returns the number of remembered blocks.
   *
   * @return the number over all engines
   */
  public int size() {
    return engines.values().stream().mapToInt(Map::size).sum();
  }
}

package org.cranberrystand.bench.policy;

import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** LRU prefix cache of one engine. */
final class PrefixCache {
  private final int capacityBlocks;
  private final Map<Long, Boolean> blocks;
  private final List<Long> stored = new ArrayList<>();
  private final List<Long> evicted = new ArrayList<>();

  PrefixCache(int capacityBlocks) {
    this.capacityBlocks = capacityBlocks;
    this.blocks = new LinkedHashMap<>(capacityBlocks * 2, 0.75f, true);
  }

  /** Returns the number of leading blocks that are cached, without marking them as used. */
  int matchPrefix(ImmutableLongArray promptBlocks) {
    int hits = 0;
    while (hits < promptBlocks.length() && blocks.containsKey(promptBlocks.get(hits))) {
      hits++;
    }
    return hits;
  }

  /** Returns the number of leading blocks that are cached and marks them as used. */
  int matchAndTouchPrefix(ImmutableLongArray promptBlocks) {
    int hits = matchPrefix(promptBlocks);
    for (int i = 0; i < hits; i++) {
      blocks.get(promptBlocks.get(i));
    }
    return hits;
  }

  /**
   * Stores all blocks of a prompt.
   *
   * <p>Blocks are inserted from last to first, so that the last ones are evicted before the prefix
   * that they depend on.
   */
  void store(ImmutableLongArray promptBlocks) {
    for (int i = promptBlocks.length() - 1; i >= 0; i--) {
      long block = promptBlocks.get(i);
      if (blocks.put(block, Boolean.TRUE) == null) {
        stored.add(block);
      }
    }
    Iterator<Long> oldest = blocks.keySet().iterator();
    for (int excess = blocks.size() - capacityBlocks; excess > 0; excess--) {
      evicted.add(oldest.next());
      oldest.remove();
    }
  }

  /** Blocks stored and evicted since the last call of {@link #takeChanges}. */
  record Changes(ImmutableLongArray stored, ImmutableLongArray evicted) {
    boolean isEmpty() {
      return stored.isEmpty() && evicted.isEmpty();
    }
  }

  Changes takeChanges() {
    Changes changes =
        new Changes(ImmutableLongArray.copyOf(stored), ImmutableLongArray.copyOf(evicted));
    stored.clear();
    evicted.clear();
    return changes;
  }
}

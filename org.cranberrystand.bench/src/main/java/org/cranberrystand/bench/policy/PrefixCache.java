package org.cranberrystand.bench.policy;

import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Prompt blocks held by one engine, evicted least recently used first. */
final class PrefixCache {
  private final int capacityBlocks;
  private final Map<Long, Boolean> blocks;
  private final List<Long> stored = new ArrayList<>();
  private final List<Long> evicted = new ArrayList<>();

  PrefixCache(int capacityBlocks) {
    this.capacityBlocks = capacityBlocks;
    this.blocks = new LinkedHashMap<>(capacityBlocks * 2, 0.75f, true);
  }

  /** Returns the number of leading blocks that are cached, without using them. */
  int peek(ImmutableLongArray prefix) {
    int hits = 0;
    while (hits < prefix.length() && blocks.containsKey(prefix.get(hits))) {
      hits++;
    }
    return hits;
  }

  /** Returns the number of leading blocks that are cached and marks them as used. */
  int use(ImmutableLongArray prefix) {
    int hits = peek(prefix);
    for (int i = 0; i < hits; i++) {
      blocks.get(prefix.get(i));
    }
    return hits;
  }

  /** Stores all blocks of a prompt. The last blocks are evicted before the first ones. */
  void store(ImmutableLongArray prefix) {
    for (int i = prefix.length() - 1; i >= 0; i--) {
      long block = prefix.get(i);
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

  /** Changes since the last call. */
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

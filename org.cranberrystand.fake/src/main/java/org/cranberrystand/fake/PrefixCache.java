package org.cranberrystand.fake;

import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.wire.http.CacheEvents;

/**
 * Prefix cache of a fake engine with limited memory and a log of its changes.
 *
 * <p>The least recently used block is evicted first. Changes become visible late, and some may be
 * lost. Safe for use by several threads.
 */
final class PrefixCache {
  private static final int MAX_LOGGED = 10_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private record Logged(CacheEvents.Change change, long atNanos) {}

  private final int capacityBlocks;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<Logged> log = new ArrayList<>();
  private long sequence;
  private long lagMillis;
  private int loseEvery;

  PrefixCache(int capacityBlocks) {
    this.capacityBlocks = capacityBlocks;
  }

  /** Sets how late changes become visible, and that every n-th one is lost (0 for none). */
  synchronized void setReporting(long newLagMillis, int newLoseEvery) {
    lagMillis = newLagMillis;
    loseEvery = newLoseEvery;
  }

  /** Returns how many leading blocks are cached, and stores all of them. */
  synchronized int use(ImmutableLongArray prompt) {
    int cached = 0;
    while (cached < prompt.length() && blocks.containsKey(prompt.get(cached))) {
      cached++;
    }
    List<String> stored = new ArrayList<>();
    for (int i = 0; i < prompt.length(); i++) {
      if (blocks.put(prompt.get(i), true) == null) {
        stored.add(Long.toHexString(prompt.get(i)));
      }
    }
    List<String> evicted = evict();
    if (!stored.isEmpty() || !evicted.isEmpty()) {
      record(new CacheEvents.Change(++sequence, stored, evicted));
    }
    return cached;
  }

  synchronized CacheEvents after(long after) {
    List<CacheEvents.Change> changes = new ArrayList<>();
    long visibleNanos = System.nanoTime() - lagMillis * NANOS_PER_MILLI;
    long next = Math.min(after, sequence);
    for (Logged entry : log) {
      if (entry.atNanos() - visibleNanos <= 0 && entry.change().sequence() > after) {
        changes.add(entry.change());
        next = entry.change().sequence();
      }
    }
    return new CacheEvents(changes, next);
  }

  private List<String> evict() {
    List<String> evicted = new ArrayList<>();
    Iterator<Long> oldest = blocks.keySet().iterator();
    for (int excess = blocks.size() - capacityBlocks; excess > 0; excess--) {
      evicted.add(Long.toHexString(oldest.next()));
      oldest.remove();
    }
    return evicted;
  }

  private void record(CacheEvents.Change change) {
    if (loseEvery > 0 && change.sequence() % loseEvery == 0) {
      return;
    }
    log.add(new Logged(change, System.nanoTime()));
    if (log.size() > MAX_LOGGED) {
      log.remove(0);
    }
  }
}

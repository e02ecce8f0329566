package org.cranberrystand.fake;

import com.google.common.primitives.ImmutableLongArray;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cranberrystand.wire.http.CacheEvents;

/**
 * Prefix cache of a fake engine with limited capacity and a log of cache events.
 *
 * <p>The least recently used block is evicted first. Events become visible after a delay, and some
 * may be dropped. Safe for use by several threads.
 */
final class PrefixCache {
  private static final int MAX_LOGGED_CHANGES = 10_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private record LoggedChange(CacheEvents.Change change, long atNanos) {}

  private final int capacityBlocks;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<LoggedChange> log = new ArrayList<>();
  private long sequence;
  private long lagMillis;
  private int lossInterval;

  PrefixCache(int capacityBlocks) {
    this.capacityBlocks = capacityBlocks;
  }

  /** Sets the delay until events are visible; every n-th one is dropped (0 drops none). */
  synchronized void setReporting(long newLagMillis, int newLossInterval) {
    lagMillis = newLagMillis;
    lossInterval = newLossInterval;
  }

  /** Returns the number of leading blocks that are cached, and stores all blocks. */
  synchronized int lookUpAndStore(ImmutableLongArray prompt) {
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
      logChange(new CacheEvents.Change(++sequence, stored, evicted));
    }
    return cached;
  }

  /** Returns the visible events with a sequence number greater than the given one. */
  synchronized CacheEvents eventsAfter(long afterSequence) {
    List<CacheEvents.Change> changes = new ArrayList<>();
    long visibleUntilNanos = System.nanoTime() - lagMillis * NANOS_PER_MILLI;
    long next = Math.min(afterSequence, sequence);
    for (LoggedChange entry : log) {
      if (entry.atNanos() - visibleUntilNanos <= 0 && entry.change().sequence() > afterSequence) {
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

  private void logChange(CacheEvents.Change change) {
    if (lossInterval > 0 && change.sequence() % lossInterval == 0) {
      return;
    }
    log.add(new LoggedChange(change, System.nanoTime()));
    if (log.size() > MAX_LOGGED_CHANGES) {
      log.remove(0);
    }
  }
}

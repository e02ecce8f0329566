package org.cranberrystand.util;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts the entry that was put first once it has more than a number of entries. Not
 * thread-safe.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1;

  private final int maxEntries;

  /**
   * Creates an empty map.
   *
   * @param maxEntries the number of entries that it keeps
   */
  public BoundedMap(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}

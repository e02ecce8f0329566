package org.cranberrystand.audit;

import java.util.Comparator;

/**
 * Timestamp of a hybrid logical clock.
 *
 * @param wallMillis the highest wall-clock time that the clock had seen, in milliseconds
 * @param counter orders timestamps with the same wall-clock time
 */
public record HybridTimestamp(long wallMillis, long counter)
    implements Comparable<HybridTimestamp> {
  /** The earliest timestamp. */
  public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

  private static final Comparator<HybridTimestamp> ORDER =
      Comparator.comparingLong(HybridTimestamp::wallMillis)
          .thenComparingLong(HybridTimestamp::counter);

  @Override
  public int compareTo(HybridTimestamp other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return wallMillis + "." + counter;
  }
}

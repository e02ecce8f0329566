package org.cranberrystand.audit;

import java.util.Comparator;

/**
 * Time of a hybrid logical clock.
 *
 * @param wallMillis the greatest wall-clock time known when it was taken, in milliseconds
 * @param counter tells timestamps with the same wall-clock time apart
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

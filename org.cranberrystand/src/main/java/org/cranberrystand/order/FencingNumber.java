package org.cranberrystand.order;

/** Chooses fencing numbers of orders. Stateless. */
public final class FencingNumber {
  /**
   * Low bits that identify the ordering incarnation. They keep two nodes that read the same state
   * from choosing the same number, which an engine could accept twice.
   */
  private static final int NODE_BITS = 10;

  private static final long NODE_MASK = (1L << NODE_BITS) - 1;

  private FencingNumber() {}

  /**
   * Returns a number above all that an engine has seen.
   *
   * @param highestSeen the highest number the engine reports, at least 0
   * @param incarnationId the random number of the ordering incarnation
   * @return a greater number
   */
  public static long next(long highestSeen, long incarnationId) {
    return ((highestSeen >>> NODE_BITS) + 1) << NODE_BITS | (incarnationId & NODE_MASK);
  }
}

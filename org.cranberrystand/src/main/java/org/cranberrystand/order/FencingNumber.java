package org.cranberrystand.order;

/** Generates the fencing numbers by which engines reject outdated orders. Stateless. */
public final class FencingNumber {
  /**
   * Number of low bits taken from the incarnation of the node. They make two nodes that read the
   * same engine state generate different numbers; an engine could accept equal numbers twice.
   */
  private static final int INCARNATION_BITS = 10;

  private static final long INCARNATION_MASK = (1L << INCARNATION_BITS) - 1;

  private FencingNumber() {}

  /**
   * Returns a number higher than any that an engine has received.
   *
   * @param highestSeen the highest number that the engine reports, at least 0
   * @param incarnationId the random ID of the incarnation that sends the order
   * @return the next fencing number
   */
  public static long next(long highestSeen, long incarnationId) {
    return ((highestSeen >>> INCARNATION_BITS) + 1) << INCARNATION_BITS
        | (incarnationId & INCARNATION_MASK);
  }
}

package org.cranberrystand.membership;

/**
 * What is known of one node.
 *
 * @param node the name of the node
 * @param incarnation the random number of its current life, in hexadecimal
 * @param callerAddress host and port of its listener for callers
 * @param peerAddress host and port of its listener for peers
 * @param failureDomain its failure domain
 * @param state its state
 * @param sequence a number that grows with each change of the record; a new incarnation starts
 *     above all numbers of earlier ones
 * @param bundleVersion the bundle in force on it, or 0
 * @param loadPercent how much of its capacity for queued work is used
 */
public record MemberRecord(
    String node,
    String incarnation,
    String callerAddress,
    String peerAddress,
    String failureDomain,
    MemberState state,
    long sequence,
    long bundleVersion,
    int loadPercent) {

  /** Bits of a sequence number that count changes within one incarnation. */
  private static final int CHANGE_BITS = 20;

  /**
   * Returns the first sequence number of an incarnation.
   *
   * <p>Two incarnations of one node that start in different seconds are ordered by their start. A
   * node whose wall clock was set back raises its number when it meets its older record.
   *
   * @param startSeconds the wall-clock time of the start, in seconds since the epoch
   * @return the sequence number
   */
  public static long firstSequence(long startSeconds) {
    return startSeconds << CHANGE_BITS;
  }

  /**
   * Tells whether this record replaces another one of the same node.
   *
   * <p>The higher sequence number wins; between two incarnations with the same number the higher
   * incarnation, and within one the later state.
   *
   * @param other the record known so far
   * @return true if this one is newer
   */
  public boolean isNewerThan(MemberRecord other) {
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    int byIncarnation = incarnation.compareTo(other.incarnation);
    return byIncarnation != 0 ? byIncarnation > 0 : state.compareTo(other.state) > 0;
  }

  /**
   * Returns a copy in another state.
   *
   * @param newState the state
   * @param newSequence the sequence number of the copy
   * @return the copy
   */
  public MemberRecord with(MemberState newState, long newSequence) {
    return new MemberRecord(
        node,
        incarnation,
        callerAddress,
        peerAddress,
        failureDomain,
        newState,
        newSequence,
        bundleVersion,
        loadPercent);
  }

  /**
   * Returns a copy with other figures that change often.
   *
   * @param newBundleVersion the bundle in force on the node
   * @param newLoadPercent its load
   * @return the copy
   */
  public MemberRecord withFigures(long newBundleVersion, int newLoadPercent) {
    return new MemberRecord(
        node,
        incarnation,
        callerAddress,
        peerAddress,
        failureDomain,
        state,
        sequence,
        newBundleVersion,
        newLoadPercent);
  }
}

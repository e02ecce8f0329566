package org.cranberrystand.membership;

/**
 * Membership record of one node: identity, addresses, state, bundle version and load.
 *
 * @param node the name of the node
 * @param incarnation a random number drawn at each start of the process, in hexadecimal
 * @param callerAddress host and port of its listener for callers
 * @param peerAddress host and port of its listener for peers
 * @param failureDomain its failure domain
 * @param state its state
 * @param sequence a number that grows with each change of the record; a new incarnation starts
 *     above all numbers of earlier ones
 * @param bundleVersion the bundle in force on it, or 0
 * @param loadPercent the used part of its capacity for queued work, in percent
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

  /** Low bits of a sequence number, which count the changes within one incarnation. */
  private static final int CHANGE_BITS = 20;

  /**
   * Returns the first sequence number of an incarnation.
   *
   * <p>Incarnations of one node that start in different seconds are ordered by their start time. A
   * node whose wall clock was set back raises its sequence number when it receives its older
   * record.
   *
   * @param startSeconds the wall-clock time of the start, in seconds since the epoch
   * @return the sequence number
   */
  public static long firstSequence(long startSeconds) {
    return startSeconds << CHANGE_BITS;
  }

  /**
   * Returns whether this record replaces another record of the same node.
   *
   * <p>Records are compared by sequence number, then by incarnation, then by state.
   *
   * @param other the existing record
   * @return true if this record is newer
   */
  public boolean isNewerThan(MemberRecord other) {
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    int byIncarnation = incarnation.compareTo(other.incarnation);
    return byIncarnation != 0 ? byIncarnation > 0 : state.compareTo(other.state) > 0;
  }

  /**
   * Returns a copy with another state.
   *
   * @param newState the state
   * @param newSequence the sequence number of the copy
   * @return the copy
   */
  public MemberRecord withState(MemberState newState, long newSequence) {
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
   * Returns a copy with another bundle version and load.
   *
   * @param newBundleVersion the bundle in force on the node
   * @param newLoadPercent the load of the node, in percent
   * @return the copy
   */
  public MemberRecord withBundleAndLoad(long newBundleVersion, int newLoadPercent) {
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

package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;

/**
 * What one node tells others several times a second.
 *
 * <p>Immutable. Every report holds the whole state that it covers, so a lost one is made good by
 * the next.
 *
 * @param sender the node that sends it
 * @param incarnation a number drawn at the start of its process
 * @param sequence grows with each report of an incarnation
 * @param reach which nodes the load covers
 * @param nodeCount how many nodes the sender knows to serve, itself included
 * @param cells into how many cells the sender divides the fleet
 * @param answerWanted whether the receiver is asked to tell the sender whom it knows
 * @param revision the revision of the published state that the sender knows; 0 if none
 * @param followsStore whether the sender reads the store of published values itself, and it answers
 * @param load what the covered nodes use
 * @param others nodes heard lately; for a cell or other cells, nodes that these hold
 */
public record PeerReport(
    KnownNode sender,
    long incarnation,
    long sequence,
    ReportReach reach,
    int nodeCount,
    int cells,
    boolean answerWanted,
    long revision,
    boolean followsStore,
    ReportedLoad load,
    ImmutableList<KnownNode> others) {

  /**
   * Returns a name of the life of the sender.
   *
   * @return node and incarnation
   */
  public String life() {
    return sender.node() + "/" + incarnation;
  }

  /**
   * Tells whether this report makes an earlier one of the same kind obsolete.
   *
   * @param earlier the earlier one; null if there is none
   * @return false if it is of the same life and was sent before
   */
  boolean isNewerThan(PeerReport earlier) {
    return earlier == null || !life().equals(earlier.life()) || sequence > earlier.sequence();
  }
}

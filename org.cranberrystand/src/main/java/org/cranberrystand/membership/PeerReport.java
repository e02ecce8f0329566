package org.cranberrystand.membership;

import com.google.common.collect.ImmutableList;

/**
 * A load report that one node sends to others several times a second.
 *
 * <p>Immutable. Every report contains the complete state of the nodes in its scope, so the next one
 * makes up for a lost one.
 *
 * @param sender the node that sends the report
 * @param incarnation a number drawn at the start of the process of the sender
 * @param sequence a number that increases with each report of an incarnation
 * @param scope the nodes that the load covers
 * @param nodeCount the number of nodes that the sender presumes alive, including itself
 * @param cellCount the number of cells into which the sender divides the fleet
 * @param replyRequested whether the receiver should reply with the nodes that it knows
 * @param version the version of the published state that the sender has
 * @param readsStore whether the sender itself reads the store of published values, and the store
 *     answers
 * @param load the load of the nodes in the scope
 * @param observations what the sender observed of upstreams
 * @param listedNodes nodes with a recent report; for a cell or other cells, nodes of these cells
 */
public record PeerReport(
    NodeInfo sender,
    long incarnation,
    long sequence,
    ReportScope scope,
    int nodeCount,
    int cellCount,
    boolean replyRequested,
    PublishedVersion version,
    boolean readsStore,
    ReportedLoad load,
    SharedObservations observations,
    ImmutableList<NodeInfo> listedNodes) {

  /**
   * Returns an identifier of the process that sent the report.
   *
   * @return the node name and incarnation, separated by a slash
   */
  public String senderInstance() {
    return sender.node() + "/" + incarnation;
  }

  /**
   * Returns whether this report replaces an earlier one of the same scope.
   *
   * @param earlier the stored report, or null if there is none
   * @return false if this report is of the same incarnation and not newer
   */
  boolean isNewerThan(PeerReport earlier) {
    return earlier == null
        || !senderInstance().equals(earlier.senderInstance())
        || sequence > earlier.sequence();
  }
}

package org.cranberrystand.wire.peer;

import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.ReportScope;

/** A decoded message of another node. */
public sealed interface PeerMessage {
  /**
   * A report. Differences are already applied to their base.
   *
   * @param report the report
   * @param senderReads the format that the sender reads
   * @param isBase whether differences may refer to the report
   */
  record Report(PeerReport report, ReportFormat senderReads, boolean isBase)
      implements PeerMessage {}

  /**
   * A difference from a report that was not received.
   *
   * @param scope the scope of the report
   */
  record UnknownBase(ReportScope scope) implements PeerMessage {}

  /**
   * The sender did not receive the base of the reports of this node.
   *
   * @param scope the scope of the reports
   */
  record StateRequest(ReportScope scope) implements PeerMessage {}
}

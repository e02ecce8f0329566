package org.cranberrystand.wire.peer;

import org.cranberrystand.membership.PeerReport;

/**
 * A decoded report and the format in which its sender reads reports.
 *
 * @param report the report
 * @param senderReads the format that the sender reads
 */
public record ReceivedMessage(PeerReport report, ReportFormat senderReads) {}

package org.cranberrystand.wire.peer;

import org.cranberrystand.membership.PeerReport;

/** A format of the reports between nodes. */
public enum ReportFormat {
  /** The format that nodes of every build read. */
  JSON {
    @Override
    public byte[] encode(PeerReport report) {
      return JsonReportCodec.encode(report);
    }
  },

  /** The compact format. */
  BINARY {
    @Override
    public byte[] encode(PeerReport report) {
      return BinaryReportCodec.encode(report);
    }
  };

  /**
   * Encodes a report.
   *
   * @param report the report
   * @return the content of a datagram
   */
  public abstract byte[] encode(PeerReport report);
}

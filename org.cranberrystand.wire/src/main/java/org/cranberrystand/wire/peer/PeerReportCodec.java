package org.cranberrystand.wire.peer;

import java.io.IOException;

/** Decodes the reports of nodes of this build and of earlier ones, which send JSON. */
public final class PeerReportCodec {
  private static final byte JSON_START = '{';

  private PeerReportCodec() {}

  /**
   * Decodes a report; the input is untrusted.
   *
   * @param bytes the content of a datagram
   * @return the report and the format that its sender reads
   * @throws IOException if the input is malformed or of an unknown version
   */
  public static ReceivedMessage decode(byte[] bytes) throws IOException {
    return bytes.length > 0 && bytes[0] == JSON_START
        ? JsonReportCodec.decode(bytes)
        : new ReceivedMessage(BinaryReportCodec.decode(bytes), ReportFormat.BINARY);
  }
}

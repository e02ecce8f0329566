package org.cranberrystand.wire.peer;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.ReportScope;

/**
 * Decodes the messages of other nodes of this build and of earlier ones, which send JSON. Not
 * thread-safe. Designed for 460 nodes.
 *
 * <p>Keeps the complete reports to which later reports refer.
 */
public final class ReportReader {
  private static final byte JSON_START = '{';

  /** Bounds the memory if datagrams are forged. */
  private static final int MAX_SENDERS = 1_024;

  /** A report may be overtaken by the next base. */
  private static final int BASES_PER_SENDER = 2;

  /** The process and scope of reports. */
  private record Sender(long incarnation, ReportScope scope) {}

  private final Map<Sender, Deque<PeerReport>> bases =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Sender, Deque<PeerReport>> eldest) {
          return size() > MAX_SENDERS;
        }
      };

  /**
   * Decodes a message; the input is untrusted.
   *
   * @param bytes the content of a datagram
   * @return the message
   * @throws IOException if the input is malformed or of an unknown version
   */
  public PeerMessage read(byte[] bytes) throws IOException {
    if (bytes.length > 0 && bytes[0] == JSON_START) {
      return JsonReportCodec.decode(bytes);
    }
    PeerMessage message = BinaryReportCodec.decode(bytes, this::find);
    if (message instanceof PeerMessage.Report received && received.isBase()) {
      store(received.report());
    }
    return message;
  }

  private PeerReport find(long incarnation, ReportScope scope, long sequence) {
    Deque<PeerReport> reports = bases.get(new Sender(incarnation, scope));
    if (reports == null) {
      return null;
    }
    for (PeerReport report : reports) {
      if (report.sequence() == sequence) {
        return report;
      }
    }
    return null;
  }

  private void store(PeerReport report) {
    Deque<PeerReport> reports =
        bases.computeIfAbsent(
            new Sender(report.incarnation(), report.scope()), sender -> new ArrayDeque<>());
    if (find(report.incarnation(), report.scope(), report.sequence()) == null) {
      reports.addLast(report);
    }
    if (reports.size() > BASES_PER_SENDER) {
      reports.removeFirst();
    }
  }
}

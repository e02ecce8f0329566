package org.cranberrystand.wire.peer;

import java.io.IOException;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.ReportScope;

/**
 * Translates between reports and the datagrams that nodes exchange. Not thread-safe.
 *
 * <p>A report is encoded once for all receivers that read the same format. Designed for 460 nodes.
 */
public final class ReportExchange {
  /** Sends datagrams to the other nodes; they may be lost, delayed or delivered several times. */
  public interface Network {
    /**
     * Sends a datagram.
     *
     * @param bytes the content
     * @param host the address of the VM of the receiver
     */
    void send(byte[] bytes, String host);
  }

  private final Network network;
  private final PeerFormats formats = new PeerFormats();
  private final ReportReader reader = new ReportReader();
  private final Map<ReportScope, ReportStream> streams = new EnumMap<>(ReportScope.class);

  /**
   * Creates an exchange that has not heard of any node.
   *
   * @param network sends the datagrams
   */
  public ReportExchange(Network network) {
    this.network = network;
  }

  /**
   * Sends a single complete report.
   *
   * @param report the report
   * @param hosts the addresses of the VMs of the receivers
   */
  public void send(PeerReport report, Collection<String> hosts) {
    send(hosts, format -> format.encode(report));
  }

  /**
   * Sends the next of the frequent reports of its scope.
   *
   * @param report the report
   * @param hosts the addresses of the VMs of the receivers
   * @param nowNanos the current monotonic time, in nanoseconds
   */
  public void sendNext(PeerReport report, Collection<String> hosts, long nowNanos) {
    send(
        hosts,
        format ->
            format == ReportFormat.BINARY
                ? stream(report.scope()).encode(report, nowNanos)
                : format.encode(report));
  }

  private void send(Collection<String> hosts, Function<ReportFormat, byte[]> encoder) {
    Map<ReportFormat, byte[]> encoded = new EnumMap<>(ReportFormat.class);
    for (String host : hosts) {
      network.send(encoded.computeIfAbsent(formats.formatFor(host), encoder), host);
    }
  }

  private ReportStream stream(ReportScope scope) {
    return streams.computeIfAbsent(scope, s -> new ReportStream());
  }

  /**
   * Processes a datagram; the content is untrusted.
   *
   * @param bytes the content
   * @param senderHost the address of the VM of the sender
   * @param nowNanos the current monotonic time, in nanoseconds
   * @return the report, or empty if the datagram contains none that can be read
   * @throws IOException if the datagram is malformed or of an unknown version
   */
  public Optional<PeerReport> receive(byte[] bytes, String senderHost, long nowNanos)
      throws IOException {
    PeerMessage message = reader.read(bytes);
    if (message instanceof PeerMessage.Report received) {
      formats.received(received.report().sender().host(), received.senderReads());
      return Optional.of(received.report());
    }
    if (message instanceof PeerMessage.UnknownBase unknown) {
      network.send(ReportStream.request(unknown), senderHost);
    } else if (message instanceof PeerMessage.StateRequest request) {
      byte[] base = stream(request.scope()).baseForReceiver(nowNanos);
      if (base.length > 0) {
        network.send(base, senderHost);
      }
    }
    return Optional.empty();
  }
}

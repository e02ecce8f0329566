package org.cranberrystand.wire.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import org.cranberrystand.dispatch.UpstreamUsage;
import org.cranberrystand.membership.NodeInfo;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.PublishedVersion;
import org.cranberrystand.membership.ReportScope;
import org.cranberrystand.membership.ReportedLoad;
import org.cranberrystand.membership.SharedObservations;

/** Prints size, encoding time and decoding time of a report of a large fleet in each format. */
public final class ReportCodecTiming {
  private static final int UPSTREAMS = 42;
  private static final int TEAMS = 16;
  private static final int LISTED_NODES = 8;
  private static final int WARM_UP_ROUNDS = 30_000;
  private static final int ROUNDS = 30_000;

  private ReportCodecTiming() {}

  /** Returns a report with as many upstreams, teams and nodes as in a fleet of 36 nodes. */
  static PeerReport largeReport() {
    ImmutableMap.Builder<String, UpstreamUsage> usage = ImmutableMap.builder();
    for (int i = 0; i < UPSTREAMS; i++) {
      usage.put("engine-" + i, new UpstreamUsage(1 + i % 9, 671L * i));
    }
    ImmutableMap.Builder<String, Double> used = ImmutableMap.builder();
    ImmutableMap.Builder<String, Double> balances = ImmutableMap.builder();
    for (int i = 0; i < TEAMS; i++) {
      used.put("team-" + i, 100_031.0 * i);
      balances.put("team-" + i, 30_017.5 * i);
    }
    ImmutableList.Builder<NodeInfo> nodes = ImmutableList.builder();
    for (int i = 0; i < LISTED_NODES; i++) {
      nodes.add(
          new NodeInfo("gateway-" + i, "10.1.0." + i, "10.1.0." + i + ":8221", true, 0.87, "fd-1"));
    }
    return new PeerReport(
        new NodeInfo("gateway-9", "10.1.0.9", "10.1.0.9:8221", true, 0.87, "fd-1"),
        Long.MAX_VALUE,
        1_000,
        ReportScope.NODE,
        36,
        8,
        false,
        new PublishedVersion(1, 1_000),
        true,
        new ReportedLoad(usage.buildOrThrow(), used.buildOrThrow(), balances.buildOrThrow()),
        SharedObservations.NONE,
        nodes.build());
  }

  /** Measures all formats. */
  public static void main(String[] args) throws IOException {
    PeerReport report = largeReport();
    for (ReportFormat format : ReportFormat.values()) {
      byte[] bytes = format.encode(report);
      run(format, report, bytes, WARM_UP_ROUNDS);
      System.out.println(
          format + ": " + bytes.length + " bytes, " + run(format, report, bytes, ROUNDS));
    }
  }

  private static int nodeCount(PeerMessage message) {
    return ((PeerMessage.Report) message).report().nodeCount();
  }

  private static String run(ReportFormat format, PeerReport report, byte[] bytes, int rounds)
      throws IOException {
    ReportReader reader = new ReportReader();
    long checksum = 0;
    long start = System.nanoTime();
    for (int i = 0; i < rounds; i++) {
      checksum += format.encode(report).length;
    }
    long encoded = System.nanoTime();
    for (int i = 0; i < rounds; i++) {
      checksum += nodeCount(reader.read(bytes));
    }
    long decoded = System.nanoTime();
    return String.format(
        "encode %.1f us, decode %.1f us (checksum %d)",
        (encoded - start) / 1e3 / rounds, (decoded - encoded) / 1e3 / rounds, checksum);
  }
}

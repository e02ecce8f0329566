package org.cranberrystand.wire.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cranberrystand.dispatch.CrashRegister;
import org.cranberrystand.dispatch.StreamOrigins;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.cranberrystand.dispatch.UpstreamUsage;
import org.cranberrystand.membership.NodeInfo;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.membership.PublishedVersion;
import org.cranberrystand.membership.ReportScope;
import org.cranberrystand.membership.ReportedLoad;
import org.cranberrystand.membership.SharedObservations;
import org.cranberrystand.upstream.DrainTracker;
import org.testng.annotations.Test;

public final class PeerReportCodecTest {
  @Test
  public void decodedReportEqualsTheEncodedOne() throws IOException {
    PeerReport report =
        new PeerReport(
            new NodeInfo("n1", "10.0.0.1", "10.0.0.1:80", true, 0.75),
            Long.MAX_VALUE,
            3,
            ReportScope.CELL,
            76,
            8,
            true,
            new PublishedVersion(2, 17),
            true,
            new ReportedLoad(
                ImmutableMap.of("e", new UpstreamUsage(2, 6_000)),
                ImmutableMap.of("estrela", 12.5),
                ImmutableMap.of("estrela", -3.0)),
            new SharedObservations(
                ImmutableList.of(new DrainTracker.Report("e@1", 2_000_000_000L)),
                ImmutableList.of(
                    new UpstreamLimits.Report("e@1", 1.6, 3_000_000_000L),
                    new UpstreamLimits.Report("f@1", Double.POSITIVE_INFINITY, 0)),
                ImmutableList.of(new UpstreamLimits.Report("e@1", 3, 4_000_000_000L)),
                ImmutableList.of(
                    new CrashRegister.Report(
                        -1L, -1, ImmutableList.of(new CrashRegister.Crash(-5, 1_000_000_000L))),
                    new CrashRegister.Report(7, 2_000_000L, ImmutableList.of())),
                ImmutableList.of("llm"),
                ImmutableList.of(new StreamOrigins.Origin("a1", "llm", "v1.1")),
                ImmutableList.of("a2", "a3")),
            ImmutableList.of(new NodeInfo("n2", "10.0.0.2", "10.0.0.2:80", false, 1.5)));

    assertEquals(PeerReportCodec.decode(PeerReportCodec.encode(report)), report);
  }

  /** Guards against a malformed datagram whose decoding error terminates the receiver. */
  @Test
  public void malformedInputThrowsIoException() {
    for (String text :
        new String[] {
          "",
          "{",
          "[]",
          "null",
          "{\"n\":1}",
          "{\"n\":[],\"i\":1,\"k\":\"n\",\"c\":{\"x\":1}}",
          "{\"n\":[],\"i\":1,\"k\":\"?\"}"
        }) {
      assertThrows(
          IOException.class, () -> PeerReportCodec.decode(text.getBytes(StandardCharsets.UTF_8)));
    }
  }
}

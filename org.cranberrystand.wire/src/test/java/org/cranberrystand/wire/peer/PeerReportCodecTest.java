package org.cranberrystand.wire.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
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
  private static PeerMessage.Report decode(byte[] bytes) throws IOException {
    return (PeerMessage.Report) new ReportReader().read(bytes);
  }

  private static PeerReport report() {
    return new PeerReport(
        new NodeInfo("n1", "10.0.0.1", "10.0.0.1:80", true, 0.75, "fd-1"),
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
            ImmutableList.of(-5, 9),
            ImmutableList.of("llm"),
            ImmutableList.of(new StreamOrigins.Origin("a1", "llm", "v1.1")),
            ImmutableList.of("a2", "a3"),
            17),
        ImmutableList.of(new NodeInfo("n2", "10.0.0.2", "10.0.0.2:80", false, 1.5)));
  }

  @Test
  public void decodedReportEqualsTheEncodedOne() throws IOException {
    PeerReport report = report();
    for (ReportFormat format : ReportFormat.values()) {
      assertEquals(decode(format.encode(report)).report(), report, format.name());
    }
  }

  /** Guards against nodes of this build that never change from JSON to the binary format. */
  @Test
  public void reportsOfThisBuildStateThatItReadsTheBinaryFormat() throws IOException {
    for (ReportFormat format : ReportFormat.values()) {
      assertEquals(decode(format.encode(report())).senderReads(), ReportFormat.BINARY);
    }
  }

  /** Guards against binary reports to a node of the build of commit a220539, which reads JSON. */
  @Test
  public void reportOfThePreviousBuildIsReadAndAnsweredAsJson() throws IOException {
    String previous =
        "{\"i\":5,\"s\":7,\"k\":\"n\",\"m\":36,\"l\":8,\"w\":true,\"e\":1,\"r\":9,\"f\":true,"
            + "\"n\":[\"n1\",\"10.0.0.1\",\"10.0.0.1:80\",true,0.75],"
            + "\"u\":{\"e1\":[2,300]},\"q\":{\"t\":1.5},\"b\":{},\"c\":{},\"d\":{},\"t\":{},"
            + "\"y\":{},\"v\":[],\"o\":[],\"a\":[],\"p\":[]}";
    PeerMessage.Report message = decode(previous.getBytes(StandardCharsets.UTF_8));

    assertEquals(message.senderReads(), ReportFormat.JSON);
    assertEquals(
        message.report().sender(), new NodeInfo("n1", "10.0.0.1", "10.0.0.1:80", true, 0.75));
    assertEquals(message.report().load().usage().get("e1"), new UpstreamUsage(2, 300));
  }

  /** Guards against a later build whose further fields this build takes for damage. */
  @Test
  public void unknownFieldsAreSkipped() throws IOException {
    byte[] known = ReportFormat.BINARY.encode(report());
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(known);
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeString(900, "later");
    out.writeUInt64(901, 7);
    out.flush();

    assertEquals(decode(bytes.toByteArray()).report(), report());
  }

  /** Guards against an exception other than the expected one for damaged datagrams. */
  @Test
  public void damagedBinaryReportThrowsIoExceptionOrIsRead() {
    Random random = new Random(1);
    byte[] whole = ReportFormat.BINARY.encode(report());
    for (int i = 0; i < 20_000; i++) {
      byte[] damaged = Arrays.copyOf(whole, 1 + random.nextInt(whole.length));
      for (int j = random.nextInt(4); j > 0; j--) {
        damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
      }
      try {
        new ReportReader().read(damaged);
      } catch (IOException e) {
        assertNotNull(e.getMessage());
      }
    }
  }

  @Test
  public void unknownVersionThrowsIoException() {
    byte[] bytes = ReportFormat.BINARY.encode(report());
    bytes[0] = 2;
    assertThrows(IOException.class, () -> decode(bytes));
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
      assertThrows(IOException.class, () -> decode(text.getBytes(StandardCharsets.UTF_8)));
    }
  }
}

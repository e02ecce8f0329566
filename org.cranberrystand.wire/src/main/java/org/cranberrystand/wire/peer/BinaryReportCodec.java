package org.cranberrystand.wire.peer;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
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

/**
 * Encodes and decodes complete peer reports in a binary format of numbered fields.
 *
 * <p>A report is a version byte and a protobuf message. Fields with unknown numbers are skipped,
 * and missing fields are zero, false or empty, so builds that differ by fields read each other's
 * reports. Frequent lists are one field of packed rows; a row must not change its columns, and
 * further columns need a new field. Stateless.
 */
final class BinaryReportCodec {
  /** The first byte of a report; differs from the first byte of JSON. */
  static final int VERSION = 1;

  /** Quota units are encoded as multiples of this fraction; usage is counted in whole units. */
  private static final double UNIT_FRACTION = 1.0 / 8;

  /** An infinite limit. */
  private static final double NO_LIMIT = -1;

  private static final int INCARNATION = 1;
  private static final int SEQUENCE = 2;
  private static final int SCOPE = 3;
  private static final int NODE_COUNT = 4;
  private static final int CELL_COUNT = 5;
  private static final int REPLY_REQUESTED = 6;
  private static final int ERA = 7;
  private static final int REVISION = 8;
  private static final int READS_STORE = 9;
  private static final int SENDER = 10;
  private static final int USAGE = 11;
  private static final int USED_QUOTA = 12;
  private static final int QUOTA_BALANCE = 13;
  private static final int LISTED_NODE = 14;
  private static final int LEAVING = 15;
  private static final int UPSTREAM_LIMIT = 16;
  private static final int REFUSAL_LIMIT = 17;
  private static final int CRASHES = 18;
  private static final int UNREACHABLE_POOL = 19;
  private static final int STREAM_ORIGIN = 20;
  private static final int SOUGHT_STREAM = 21;

  private static final int NODE_NAME = 1;
  private static final int NODE_HOST = 2;
  private static final int NODE_CALLER_ADDRESS = 3;

  /** Replaces the address for callers if that is the address of the VM and a port. */
  private static final int NODE_CALLER_PORT = 4;

  private static final int NODE_ACCEPTS_CALLERS = 5;
  private static final int NODE_CORES = 6;
  private static final int NODE_DOMAIN = 7;

  private BinaryReportCodec() {}

  /** Encodes a report. */
  static byte[] encode(PeerReport report) {
    return FieldWriter.write(VERSION, out -> writeReport(report, out));
  }

  private static void writeReport(PeerReport report, FieldWriter out) throws IOException {
    out.fixed64(INCARNATION, report.incarnation());
    out.number(SEQUENCE, report.sequence());
    out.text(SCOPE, report.scope().code());
    out.number(NODE_COUNT, report.nodeCount());
    out.signed(CELL_COUNT, report.cellCount());
    out.flag(REPLY_REQUESTED, report.replyRequested());
    out.number(ERA, report.version().era());
    out.number(REVISION, report.version().revision());
    out.flag(READS_STORE, report.readsStore());
    out.nested(SENDER, node -> writeNode(report.sender(), node));
    ReportedLoad load = report.load();
    out.rows(
        USAGE,
        load.usage().entrySet(),
        (entry, row) -> {
          row.writeStringNoTag(entry.getKey());
          row.writeUInt32NoTag(entry.getValue().running());
          row.writeUInt64NoTag(entry.getValue().prefillTokens());
        });
    writeUnits(USED_QUOTA, load.usedQuotaUnits(), out);
    writeUnits(QUOTA_BALANCE, load.quotaBalanceUnits(), out);
    for (NodeInfo node : report.listedNodes()) {
      out.nested(LISTED_NODE, nested -> writeNode(node, nested));
    }
    writeObservations(report.observations(), out);
  }

  private static void writeUnits(int field, ImmutableMap<String, Double> units, FieldWriter out)
      throws IOException {
    out.rows(
        field,
        units.entrySet(),
        (entry, row) -> {
          row.writeStringNoTag(entry.getKey());
          row.writeSInt64NoTag(Math.round(entry.getValue() / UNIT_FRACTION));
        });
  }

  private static void writeObservations(SharedObservations observations, FieldWriter out)
      throws IOException {
    out.rows(
        LEAVING,
        observations.leavingUpstreams(),
        (one, row) -> {
          row.writeStringNoTag(one.upstream());
          row.writeSInt64NoTag(NANOSECONDS.toMillis(one.ageNanos()));
        });
    writeLimits(UPSTREAM_LIMIT, observations.upstreamLimits(), out);
    writeLimits(REFUSAL_LIMIT, observations.refusalLimits(), out);
    out.rows(
        CRASHES,
        observations.crashes(),
        (one, row) -> {
          row.writeFixed64NoTag(one.key());
          row.writeSInt64NoTag(
              one.answerAgeNanos() < 0 ? -1 : NANOSECONDS.toMillis(one.answerAgeNanos()));
          row.writeUInt32NoTag(one.crashes().size());
          for (CrashRegister.Crash crash : one.crashes()) {
            row.writeFixed32NoTag(crash.upstream());
            row.writeSInt64NoTag(NANOSECONDS.toMillis(crash.ageNanos()));
          }
        });
    out.rows(
        UNREACHABLE_POOL,
        observations.unreachablePools(),
        (pool, row) -> row.writeStringNoTag(pool));
    out.rows(
        STREAM_ORIGIN,
        observations.streamOrigins(),
        (one, row) -> {
          row.writeStringNoTag(one.stream());
          row.writeStringNoTag(one.pool());
          row.writeStringNoTag(one.softwareVersion());
        });
    out.rows(
        SOUGHT_STREAM, observations.soughtStreams(), (stream, row) -> row.writeStringNoTag(stream));
  }

  private static void writeLimits(
      int field, ImmutableList<UpstreamLimits.Report> limits, FieldWriter out) throws IOException {
    out.rows(
        field,
        limits,
        (one, row) -> {
          row.writeStringNoTag(one.incarnation());
          row.writeSInt64NoTag(NANOSECONDS.toMillis(one.ageNanos()));
          row.writeDoubleNoTag(Double.isFinite(one.perSecond()) ? one.perSecond() : NO_LIMIT);
        });
  }

  private static void writeNode(NodeInfo node, FieldWriter out) throws IOException {
    out.text(NODE_NAME, node.node());
    out.text(NODE_HOST, node.host());
    int port = callerPort(node);
    if (port > 0) {
      out.number(NODE_CALLER_PORT, port);
    } else {
      out.text(NODE_CALLER_ADDRESS, node.callerAddress());
    }
    out.flag(NODE_ACCEPTS_CALLERS, node.acceptsCallers());
    out.real(NODE_CORES, node.cores());
    out.text(NODE_DOMAIN, node.failureDomain());
  }

  /** Returns the port if the address for callers is the address of the VM and a port, or 0. */
  private static int callerPort(NodeInfo node) {
    String address = node.callerAddress();
    int hostLength = node.host().length();
    if (!address.startsWith(node.host())
        || address.length() <= hostLength + 1
        || address.length() > hostLength + 6
        || address.charAt(hostLength) != ':'
        || address.charAt(hostLength + 1) == '0') {
      return 0;
    }
    int port = 0;
    for (int i = hostLength + 1; i < address.length(); i++) {
      int digit = address.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        return 0;
      }
      port = 10 * port + digit;
    }
    return port;
  }

  /** Decodes a report; the input is untrusted. */
  static PeerReport decode(byte[] bytes) throws IOException {
    if (bytes.length == 0 || bytes[0] != VERSION) {
      throw new IOException(
          "unknown version " + (bytes.length == 0 ? "of an empty report" : bytes[0]));
    }
    try {
      return new Decoder().decode(CodedInputStream.newInstance(bytes, 1, bytes.length - 1));
    } catch (IllegalArgumentException e) {
      throw new IOException("malformed report", e);
    }
  }

  /** The fields of one report, as far as they are decoded. */
  private static final class Decoder {
    private NodeInfo sender;
    private long incarnation;
    private long sequence;
    private ReportScope scope = ReportScope.NODE;
    private int nodeCount;
    private int cellCount;
    private boolean replyRequested;
    private long era;
    private long revision;
    private boolean readsStore;
    private ImmutableMap<String, UpstreamUsage> usage = ImmutableMap.of();
    private ImmutableMap<String, Double> usedQuotaUnits = ImmutableMap.of();
    private ImmutableMap<String, Double> quotaBalanceUnits = ImmutableMap.of();
    private final ImmutableList.Builder<NodeInfo> listedNodes = ImmutableList.builder();
    private final SharedObservations.Builder observations = SharedObservations.builder();

    private PeerReport decode(CodedInputStream in) throws IOException {
      for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
        if (!readField(WireFormat.getTagFieldNumber(tag), in)) {
          in.skipField(tag);
        }
      }
      if (sender == null) {
        throw new IOException("not a peer report: no sender");
      }
      return new PeerReport(
          sender,
          incarnation,
          sequence,
          scope,
          nodeCount,
          cellCount,
          replyRequested,
          new PublishedVersion(era, revision),
          readsStore,
          new ReportedLoad(usage, usedQuotaUnits, quotaBalanceUnits),
          observations.build(),
          listedNodes.build());
    }

    private boolean readField(int field, CodedInputStream in) throws IOException {
      switch (field) {
        case INCARNATION -> incarnation = in.readFixed64();
        case SEQUENCE -> sequence = in.readUInt64();
        case SCOPE -> scope = ReportScope.ofCode(in.readString());
        case NODE_COUNT -> nodeCount = in.readUInt32();
        case CELL_COUNT -> cellCount = in.readSInt32();
        case REPLY_REQUESTED -> replyRequested = in.readBool();
        case ERA -> era = in.readUInt64();
        case REVISION -> revision = in.readUInt64();
        case READS_STORE -> readsStore = in.readBool();
        case SENDER -> sender = readNested(in, BinaryReportCodec::readNode);
        case USAGE -> usage = readNested(in, BinaryReportCodec::readUsage);
        case USED_QUOTA -> usedQuotaUnits = readNested(in, BinaryReportCodec::readUnits);
        case QUOTA_BALANCE -> quotaBalanceUnits = readNested(in, BinaryReportCodec::readUnits);
        case LISTED_NODE -> listedNodes.add(readNested(in, BinaryReportCodec::readNode));
        default -> {
          return readObservations(field, in);
        }
      }
      return true;
    }

    private boolean readObservations(int field, CodedInputStream in) throws IOException {
      switch (field) {
        case LEAVING ->
            observations.leavingUpstreams(
                readRows(in, row -> new DrainTracker.Report(row.readString(), readAge(row))));
        case UPSTREAM_LIMIT ->
            observations.upstreamLimits(readRows(in, BinaryReportCodec::readLimit));
        case REFUSAL_LIMIT ->
            observations.refusalLimits(readRows(in, BinaryReportCodec::readLimit));
        case CRASHES -> observations.crashes(readRows(in, BinaryReportCodec::readCrashes));
        case UNREACHABLE_POOL ->
            observations.unreachablePools(readRows(in, CodedInputStream::readString));
        case STREAM_ORIGIN ->
            observations.streamOrigins(
                readRows(
                    in,
                    row ->
                        new StreamOrigins.Origin(
                            row.readString(), row.readString(), row.readString())));
        case SOUGHT_STREAM ->
            observations.soughtStreams(readRows(in, CodedInputStream::readString));
        default -> {
          return false;
        }
      }
      return true;
    }
  }

  /** Reads a value from a stream. */
  private interface Reader<T> {
    T read(CodedInputStream in) throws IOException;
  }

  private static <T> T readNested(CodedInputStream in, Reader<T> reader) throws IOException {
    int limit = in.pushLimit(in.readRawVarint32());
    T value = reader.read(in);
    if (in.getBytesUntilLimit() != 0) {
      throw new IOException("malformed report: trailing bytes in a field");
    }
    in.popLimit(limit);
    return value;
  }

  private static <T> ImmutableList<T> readRows(CodedInputStream in, Reader<T> reader)
      throws IOException {
    return readNested(
        in,
        rows -> {
          ImmutableList.Builder<T> list = ImmutableList.builder();
          while (!rows.isAtEnd()) {
            list.add(reader.read(rows));
          }
          return list.build();
        });
  }

  private static ImmutableMap<String, UpstreamUsage> readUsage(CodedInputStream in)
      throws IOException {
    ImmutableMap.Builder<String, UpstreamUsage> usage = ImmutableMap.builder();
    while (!in.isAtEnd()) {
      usage.put(in.readString(), new UpstreamUsage(in.readUInt32(), in.readUInt64()));
    }
    return usage.buildOrThrow();
  }

  private static ImmutableMap<String, Double> readUnits(CodedInputStream in) throws IOException {
    ImmutableMap.Builder<String, Double> units = ImmutableMap.builder();
    while (!in.isAtEnd()) {
      units.put(in.readString(), in.readSInt64() * UNIT_FRACTION);
    }
    return units.buildOrThrow();
  }

  private static long readAge(CodedInputStream in) throws IOException {
    return MILLISECONDS.toNanos(in.readSInt64());
  }

  private static UpstreamLimits.Report readLimit(CodedInputStream in) throws IOException {
    String incarnation = in.readString();
    long ageNanos = readAge(in);
    double perSecond = in.readDouble();
    return new UpstreamLimits.Report(
        incarnation, perSecond < 0 ? Double.POSITIVE_INFINITY : perSecond, ageNanos);
  }

  private static CrashRegister.Report readCrashes(CodedInputStream in) throws IOException {
    long key = in.readFixed64();
    long answerAgeMillis = in.readSInt64();
    ImmutableList.Builder<CrashRegister.Crash> crashes = ImmutableList.builder();
    for (int remaining = in.readUInt32(); remaining > 0; remaining--) {
      crashes.add(new CrashRegister.Crash(in.readFixed32(), readAge(in)));
    }
    return new CrashRegister.Report(
        key, answerAgeMillis < 0 ? -1 : MILLISECONDS.toNanos(answerAgeMillis), crashes.build());
  }

  private static NodeInfo readNode(CodedInputStream in) throws IOException {
    String name = "";
    String host = "";
    String callerAddress = "";
    int callerPort = 0;
    boolean acceptsCallers = false;
    double cores = 0;
    String domain = "";
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case NODE_NAME -> name = in.readString();
        case NODE_HOST -> host = in.readString();
        case NODE_CALLER_ADDRESS -> callerAddress = in.readString();
        case NODE_CALLER_PORT -> callerPort = in.readUInt32();
        case NODE_ACCEPTS_CALLERS -> acceptsCallers = in.readBool();
        case NODE_CORES -> cores = in.readDouble();
        case NODE_DOMAIN -> domain = in.readString();
        default -> in.skipField(tag);
      }
    }
    return new NodeInfo(
        name,
        host,
        callerPort > 0 ? host + ":" + callerPort : callerAddress,
        acceptsCallers,
        cores,
        domain);
  }
}

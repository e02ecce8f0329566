package org.cranberrystand.wire.peer;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
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
 * Encodes and decodes peer reports in a binary format of numbered fields.
 *
 * <p>A report is a version byte and a protobuf message. Fields with unknown numbers are skipped,
 * and missing fields are zero, false or empty, so builds that differ by fields read each other's
 * reports. Frequent lists are one field of packed rows; a row must not change its columns, and
 * further columns need a new field.
 *
 * <p>A report is complete, or it is the difference from an earlier complete report of the same
 * process and scope, the base. In a difference, missing fields have the value of the base. Observed
 * events and, in reports of a node on itself, listed nodes are hints that receivers merge; a
 * difference contains only those that are new. The incarnation, the scope and the base come first.
 * Stateless.
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
  private static final int BASE = 22;
  private static final int CHANGED_USAGE = 23;
  private static final int CHANGED_QUOTA = 24;
  private static final int REQUESTED_SCOPE = 25;
  private static final int IS_BASE = 26;
  private static final int STORE_STEADY = 27;
  private static final int SURVIVED_CRASH = 28;

  /** Precedes a name in a row; a higher value stands for the name at that position in the base. */
  private static final int NEW_NAME = 0;

  private BinaryReportCodec() {}

  /** Encodes a complete report that is not a base. */
  static byte[] encode(PeerReport report) {
    return FieldWriter.write(VERSION, out -> writeComplete(report, out));
  }

  /** Encodes a complete report to which differences will refer. */
  static byte[] encodeBase(PeerReport report) {
    return FieldWriter.write(
        VERSION,
        out -> {
          writeComplete(report, out);
          out.flag(IS_BASE, true, false);
        });
  }

  /** Encodes the difference from a base; the changes must be {@link ReportChanges#areEncodable}. */
  static byte[] encodeChanges(ReportChanges changes) {
    return FieldWriter.write(VERSION, out -> writeChanges(changes, out));
  }

  /** Encodes a request for the base of a scope. */
  static byte[] encodeRequest(ReportScope scope) {
    return FieldWriter.write(VERSION, out -> out.text(REQUESTED_SCOPE, scope.code()));
  }

  private static void writeComplete(PeerReport report, FieldWriter out) throws IOException {
    out.fixed64(INCARNATION, report.incarnation());
    out.text(SCOPE, report.scope().code());
    out.number(SEQUENCE, report.sequence(), 0);
    out.number(NODE_COUNT, report.nodeCount(), 0);
    out.signed(CELL_COUNT, report.cellCount(), 0);
    out.flag(REPLY_REQUESTED, report.replyRequested(), false);
    out.number(ERA, report.version().era(), 0);
    out.number(REVISION, report.version().revision(), 0);
    out.flag(READS_STORE, report.readsStore(), false);
    out.nested(SENDER, node -> NodeInfoCodec.write(report.sender(), node));
    ReportedLoad load = report.load();
    out.rows(
        USAGE,
        load.usage().entrySet(),
        (entry, row) -> {
          row.writeStringNoTag(entry.getKey());
          writeUsage(entry.getValue(), row);
        });
    writeUnits(USED_QUOTA, load.usedQuotaUnits(), out);
    writeUnits(QUOTA_BALANCE, load.quotaBalanceUnits(), out);
    for (NodeInfo node : report.listedNodes()) {
      out.nested(LISTED_NODE, nested -> NodeInfoCodec.write(node, nested));
    }
    out.rows(
        UNREACHABLE_POOL,
        report.observations().unreachablePools(),
        (pool, row) -> row.writeStringNoTag(pool));
    writeEvents(report.observations(), out);
  }

  private static void writeChanges(ReportChanges changes, FieldWriter out) throws IOException {
    PeerReport report = changes.report();
    PeerReport base = changes.base();
    out.fixed64(INCARNATION, report.incarnation());
    if (report.scope() != ReportScope.NODE) {
      out.text(SCOPE, report.scope().code());
    }
    out.number(BASE, base.sequence(), 0);
    out.number(SEQUENCE, report.sequence() - base.sequence(), 0);
    out.number(NODE_COUNT, report.nodeCount(), base.nodeCount());
    out.signed(CELL_COUNT, report.cellCount(), base.cellCount());
    out.flag(REPLY_REQUESTED, report.replyRequested(), base.replyRequested());
    out.number(ERA, report.version().era(), base.version().era());
    out.number(REVISION, report.version().revision(), base.version().revision());
    out.flag(READS_STORE, report.readsStore(), base.readsStore());
    if (!report.sender().equals(base.sender())) {
      out.nested(SENDER, node -> NodeInfoCodec.write(report.sender(), node));
    }
    ImmutableList<String> usageNames = base.load().usage().keySet().asList();
    out.rows(
        CHANGED_USAGE,
        changes.usage(),
        (entry, row) -> {
          writeName(entry.getKey(), usageNames, row);
          writeUsage(entry.getValue(), row);
        });
    ImmutableMap<String, Double> baseUnits = base.load().usedQuotaUnits();
    ImmutableList<String> teams = baseUnits.keySet().asList();
    out.rows(
        CHANGED_QUOTA,
        changes.usedQuotaUnits(),
        (entry, row) -> {
          writeName(entry.getKey(), teams, row);
          row.writeSInt64NoTag(
              fractions(entry.getValue()) - fractions(baseUnits.getOrDefault(entry.getKey(), 0.0)));
        });
    if (!changes.unreachablePoolsAreSame()) {
      out.rows(
          UNREACHABLE_POOL,
          report.observations().unreachablePools(),
          (pool, row) -> row.writeStringNoTag(pool));
    }
    writeEvents(changes.newEvents(), out);
  }

  private static void writeName(String name, ImmutableList<String> names, CodedOutputStream row)
      throws IOException {
    int index = names.indexOf(name);
    row.writeUInt32NoTag(index + 1);
    if (index < 0) {
      row.writeStringNoTag(name);
    }
  }

  private static void writeUsage(UpstreamUsage usage, CodedOutputStream row) throws IOException {
    row.writeUInt32NoTag(usage.running());
    row.writeUInt64NoTag(usage.prefillTokens());
  }

  private static long fractions(double units) {
    return Math.round(units / UNIT_FRACTION);
  }

  private static void writeUnits(int field, ImmutableMap<String, Double> units, FieldWriter out)
      throws IOException {
    out.rows(
        field,
        units.entrySet(),
        (entry, row) -> {
          row.writeStringNoTag(entry.getKey());
          row.writeSInt64NoTag(fractions(entry.getValue()));
        });
  }

  private static void writeEvents(SharedObservations observations, FieldWriter out)
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
        STREAM_ORIGIN,
        observations.streamOrigins(),
        (one, row) -> {
          row.writeStringNoTag(one.stream());
          row.writeStringNoTag(one.pool());
          row.writeStringNoTag(one.softwareVersion());
        });
    out.rows(
        SOUGHT_STREAM, observations.soughtStreams(), (stream, row) -> row.writeStringNoTag(stream));
    out.number(STORE_STEADY, observations.storeSteadySeconds(), 0);
    out.rows(
        SURVIVED_CRASH,
        observations.survivedCrashes(),
        (crash, row) -> row.writeFixed32NoTag(crash));
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

  /** Finds complete reports that were received before. */
  interface Bases {
    /** Returns the base with a sequence number, or null if it was not received. */
    PeerReport find(long incarnation, ReportScope scope, long sequence);
  }

  /** Decodes a message; the input is untrusted. */
  static PeerMessage decode(byte[] bytes, Bases bases) throws IOException {
    if (bytes.length == 0 || bytes[0] != VERSION) {
      throw new IOException(
          "unknown version " + (bytes.length == 0 ? "of an empty report" : bytes[0]));
    }
    try {
      return new Decoder(bases).decode(CodedInputStream.newInstance(bytes, 1, bytes.length - 1));
    } catch (IllegalArgumentException e) {
      throw new IOException("malformed report", e);
    }
  }

  /** The fields of one report, as far as they are decoded. */
  private static final class Decoder {
    private final Bases bases;
    private PeerReport base;
    private boolean baseMissing;
    private boolean isBase;
    private ReportScope requestedScope;
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

    private Decoder(Bases bases) {
      this.bases = bases;
    }

    private PeerMessage decode(CodedInputStream in) throws IOException {
      for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
        if (!readField(WireFormat.getTagFieldNumber(tag), in)) {
          in.skipField(tag);
        }
        if (baseMissing) {
          return new PeerMessage.UnknownBase(scope);
        }
      }
      if (requestedScope != null) {
        return new PeerMessage.StateRequest(requestedScope);
      }
      if (sender == null) {
        throw new IOException("not a peer report: no sender");
      }
      return new PeerMessage.Report(report(), ReportFormat.BINARY, isBase);
    }

    /** Assumes the values of the base for missing fields. */
    private void applyBase(long baseSequence) {
      base = bases.find(incarnation, scope, baseSequence);
      if (base == null) {
        baseMissing = true;
        return;
      }
      sender = base.sender();
      nodeCount = base.nodeCount();
      cellCount = base.cellCount();
      replyRequested = base.replyRequested();
      era = base.version().era();
      revision = base.version().revision();
      readsStore = base.readsStore();
      usage = base.load().usage();
      usedQuotaUnits = base.load().usedQuotaUnits();
      quotaBalanceUnits = base.load().quotaBalanceUnits();
      observations.unreachablePools(base.observations().unreachablePools());
      if (scope != ReportScope.NODE) {
        listedNodes.addAll(base.listedNodes());
      }
    }

    private PeerReport report() {
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
        case BASE -> applyBase(in.readUInt64());
        case SEQUENCE -> sequence = in.readUInt64() + (base == null ? 0 : base.sequence());
        case SCOPE -> scope = ReportScope.ofCode(in.readString());
        case NODE_COUNT -> nodeCount = in.readUInt32();
        case CELL_COUNT -> cellCount = in.readSInt32();
        case REPLY_REQUESTED -> replyRequested = in.readBool();
        case ERA -> era = in.readUInt64();
        case REVISION -> revision = in.readUInt64();
        case READS_STORE -> readsStore = in.readBool();
        case SENDER -> sender = readNested(in, NodeInfoCodec::read);
        case USAGE -> usage = readNested(in, BinaryReportCodec::readUsage);
        case USED_QUOTA -> usedQuotaUnits = readNested(in, BinaryReportCodec::readUnits);
        case CHANGED_USAGE -> usage = readNested(in, rows -> changedUsage(usage, rows));
        case CHANGED_QUOTA ->
            usedQuotaUnits = readNested(in, rows -> changedUnits(usedQuotaUnits, rows));
        case REQUESTED_SCOPE -> requestedScope = ReportScope.ofCode(in.readString());
        case IS_BASE -> isBase = in.readBool();
        case QUOTA_BALANCE -> quotaBalanceUnits = readNested(in, BinaryReportCodec::readUnits);
        case LISTED_NODE -> listedNodes.add(readNested(in, NodeInfoCodec::read));
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
        case STORE_STEADY -> observations.storeSteadySeconds(in.readUInt32());
        case SURVIVED_CRASH ->
            observations.survivedCrashes(readRows(in, CodedInputStream::readFixed32));
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

  /** Reads a name, or the position of a name in the base. */
  private static String readName(CodedInputStream in, ImmutableList<String> names)
      throws IOException {
    int position = in.readUInt32();
    if (position == NEW_NAME) {
      return in.readString();
    }
    if (position < 0 || position > names.size()) {
      throw new IOException("malformed report: no name at position " + position);
    }
    return names.get(position - 1);
  }

  /** Replaces changed values; usage of zero means that the upstream is no longer used. */
  private static ImmutableMap<String, UpstreamUsage> changedUsage(
      ImmutableMap<String, UpstreamUsage> base, CodedInputStream in) throws IOException {
    Map<String, UpstreamUsage> usage = new LinkedHashMap<>(base);
    ImmutableList<String> names = base.keySet().asList();
    while (!in.isAtEnd()) {
      String name = readName(in, names);
      UpstreamUsage value = new UpstreamUsage(in.readUInt32(), in.readUInt64());
      if (value.equals(UpstreamUsage.NONE)) {
        usage.remove(name);
      } else {
        usage.put(name, value);
      }
    }
    return ImmutableMap.copyOf(usage);
  }

  private static ImmutableMap<String, Double> changedUnits(
      ImmutableMap<String, Double> base, CodedInputStream in) throws IOException {
    Map<String, Double> units = new LinkedHashMap<>(base);
    ImmutableList<String> names = base.keySet().asList();
    while (!in.isAtEnd()) {
      units.merge(readName(in, names), in.readSInt64() * UNIT_FRACTION, Double::sum);
    }
    return ImmutableMap.copyOf(units);
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
}

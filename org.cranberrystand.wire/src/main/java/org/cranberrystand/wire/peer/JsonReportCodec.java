package org.cranberrystand.wire.peer;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Streams;
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
import org.cranberrystand.wire.Json;

/**
 * Encodes and decodes peer reports as JSON, the format of nodes that cannot read {@link
 * BinaryReportCodec}.
 */
final class JsonReportCodec {
  /** Key of the newest version of the binary format that the sender reads. */
  private static final String BINARY_VERSION_KEY = "x";

  /** JSON has no infinite numbers. */
  private static final double NO_LIMIT = -1;

  private JsonReportCodec() {}

  /** Encodes a report as UTF-8 JSON. */
  static byte[] encode(PeerReport report) {
    ObjectNode root = Json.MAPPER.createObjectNode();
    root.put(BINARY_VERSION_KEY, BinaryReportCodec.VERSION);
    root.put("i", report.incarnation());
    root.put("s", report.sequence());
    root.put("k", report.scope().code());
    root.put("m", report.nodeCount());
    root.put("l", report.cellCount());
    root.put("w", report.replyRequested());
    root.put("e", report.version().era());
    root.put("r", report.version().revision());
    root.put("f", report.readsStore());
    writeNode(root.putArray("n"), report.sender());
    ReportedLoad load = report.load();
    ObjectNode usage = root.putObject("u");
    load.usage()
        .forEach(
            (id, amount) -> usage.putArray(id).add(amount.running()).add(amount.prefillTokens()));
    ObjectNode quota = root.putObject("q");
    load.usedQuotaUnits().forEach(quota::put);
    ObjectNode balances = root.putObject("b");
    load.quotaBalanceUnits().forEach(balances::put);
    ObjectNode crashes = root.putObject("c");
    report.observations().crashes().forEach(one -> writeCrashes(crashes, one));
    ArrayNode survived = root.putArray("g");
    report.observations().survivedCrashes().forEach(survived::add);
    ObjectNode leaving = root.putObject("d");
    report
        .observations()
        .leavingUpstreams()
        .forEach(one -> leaving.put(one.upstream(), NANOSECONDS.toMillis(one.ageNanos())));
    root.put("z", report.observations().storeSteadySeconds());
    writeLimits(root.putObject("t"), report.observations().upstreamLimits());
    writeLimits(root.putObject("y"), report.observations().refusalLimits());
    ArrayNode unreachable = root.putArray("v");
    report.observations().unreachablePools().forEach(unreachable::add);
    ArrayNode origins = root.putArray("o");
    report
        .observations()
        .streamOrigins()
        .forEach(
            one -> origins.addArray().add(one.stream()).add(one.pool()).add(one.softwareVersion()));
    ArrayNode sought = root.putArray("a");
    report.observations().soughtStreams().forEach(sought::add);
    ArrayNode otherNodes = root.putArray("p");
    report.listedNodes().forEach(node -> writeNode(otherNodes.addArray(), node));
    return Json.toBytes(root);
  }

  private static void writeLimits(ObjectNode limits, ImmutableList<UpstreamLimits.Report> reports) {
    reports.forEach(
        one ->
            limits
                .putArray(one.incarnation())
                .add(NANOSECONDS.toMillis(one.ageNanos()))
                .add(Double.isFinite(one.perSecond()) ? one.perSecond() : NO_LIMIT));
  }

  /** Writes the age of the last answer, and a hash of the upstream and the age of each crash. */
  private static void writeCrashes(ObjectNode crashes, CrashRegister.Report report) {
    ArrayNode values = crashes.putArray(Long.toHexString(report.key()));
    values.add(report.answerAgeNanos() < 0 ? -1 : NANOSECONDS.toMillis(report.answerAgeNanos()));
    report
        .crashes()
        .forEach(crash -> values.add(crash.upstream()).add(NANOSECONDS.toMillis(crash.ageNanos())));
  }

  private static void writeNode(ArrayNode array, NodeInfo node) {
    array
        .add(node.node())
        .add(node.host())
        .add(node.callerAddress())
        .add(node.acceptsCallers())
        .add(node.cores())
        .add(node.failureDomain());
  }

  private static NodeInfo readNode(JsonNode array) {
    return new NodeInfo(
        array.path(0).asText(),
        array.path(1).asText(),
        array.path(2).asText(),
        array.path(3).asBoolean(),
        array.path(4).asDouble(),
        array.path(5).asText());
  }

  /** Decodes a report; the input is untrusted. */
  static PeerMessage.Report decode(byte[] bytes) throws IOException {
    JsonNode root = Json.readTree(bytes);
    if (root == null || !root.path("n").isArray() || !root.path("i").isIntegralNumber()) {
      throw new IOException("not a peer report: n must be an array and i an integer");
    }
    try {
      boolean readsBinary = root.path(BINARY_VERSION_KEY).asInt() >= BinaryReportCodec.VERSION;
      return new PeerMessage.Report(
          decode(root), readsBinary ? ReportFormat.BINARY : ReportFormat.JSON, false);
    } catch (IllegalArgumentException e) {
      throw new IOException("malformed report of " + root.path("n").asText(), e);
    }
  }

  private static PeerReport decode(JsonNode root) {
    ImmutableMap.Builder<String, UpstreamUsage> usage = ImmutableMap.builder();
    root.path("u")
        .properties()
        .forEach(
            e ->
                usage.put(
                    e.getKey(),
                    new UpstreamUsage(
                        e.getValue().path(0).asInt(), e.getValue().path(1).asLong())));
    ImmutableList.Builder<DrainTracker.Report> leaving = ImmutableList.builder();
    root.path("d")
        .properties()
        .forEach(
            e ->
                leaving.add(
                    new DrainTracker.Report(
                        e.getKey(), MILLISECONDS.toNanos(e.getValue().asLong()))));
    ImmutableList.Builder<NodeInfo> others = ImmutableList.builder();
    root.path("p").forEach(node -> others.add(readNode(node)));
    return new PeerReport(
        readNode(root.path("n")),
        root.path("i").asLong(),
        root.path("s").asLong(),
        ReportScope.ofCode(root.path("k").asText()),
        root.path("m").asInt(),
        root.path("l").asInt(),
        root.path("w").asBoolean(),
        new PublishedVersion(root.path("e").asLong(), root.path("r").asLong()),
        root.path("f").asBoolean(),
        new ReportedLoad(usage.build(), readDoubles(root.path("q")), readDoubles(root.path("b"))),
        SharedObservations.builder()
            .leavingUpstreams(leaving.build())
            .upstreamLimits(readLimits(root.path("t")))
            .refusalLimits(readLimits(root.path("y")))
            .crashes(readCrashes(root.path("c")))
            .survivedCrashes(readNumbers(root.path("g")))
            .unreachablePools(readTexts(root.path("v")))
            .streamOrigins(readOrigins(root.path("o")))
            .soughtStreams(readTexts(root.path("a")))
            .storeSteadySeconds(root.path("z").asInt())
            .build(),
        others.build());
  }

  private static ImmutableList<Integer> readNumbers(JsonNode array) {
    return Streams.stream(array).map(JsonNode::asInt).collect(ImmutableList.toImmutableList());
  }

  private static ImmutableList<String> readTexts(JsonNode array) {
    return Streams.stream(array).map(JsonNode::asText).collect(ImmutableList.toImmutableList());
  }

  private static ImmutableList<StreamOrigins.Origin> readOrigins(JsonNode array) {
    return Streams.stream(array)
        .map(
            one ->
                new StreamOrigins.Origin(
                    one.path(0).asText(), one.path(1).asText(), one.path(2).asText()))
        .collect(ImmutableList.toImmutableList());
  }

  private static ImmutableList<CrashRegister.Report> readCrashes(JsonNode node) {
    return node.properties().stream()
        .map(e -> readCrashes(Long.parseUnsignedLong(e.getKey(), 16), e.getValue()))
        .collect(ImmutableList.toImmutableList());
  }

  private static CrashRegister.Report readCrashes(long key, JsonNode values) {
    ImmutableList.Builder<CrashRegister.Crash> crashes = ImmutableList.builder();
    for (int i = 1; i + 1 < values.size(); i += 2) {
      crashes.add(
          new CrashRegister.Crash(
              values.path(i).asInt(), MILLISECONDS.toNanos(values.path(i + 1).asLong())));
    }
    long answerAgeMillis = values.path(0).asLong(-1);
    return new CrashRegister.Report(
        key, answerAgeMillis < 0 ? -1 : MILLISECONDS.toNanos(answerAgeMillis), crashes.build());
  }

  private static ImmutableList<UpstreamLimits.Report> readLimits(JsonNode node) {
    ImmutableList.Builder<UpstreamLimits.Report> limits = ImmutableList.builder();
    node.properties()
        .forEach(
            e -> {
              double perSecond = e.getValue().path(1).asDouble(NO_LIMIT);
              limits.add(
                  new UpstreamLimits.Report(
                      e.getKey(),
                      perSecond < 0 ? Double.POSITIVE_INFINITY : perSecond,
                      MILLISECONDS.toNanos(e.getValue().path(0).asLong())));
            });
    return limits.build();
  }

  private static ImmutableMap<String, Double> readDoubles(JsonNode node) {
    ImmutableMap.Builder<String, Double> values = ImmutableMap.builder();
    node.properties().forEach(e -> values.put(e.getKey(), e.getValue().asDouble()));
    return values.build();
  }
}

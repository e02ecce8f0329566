package org.cranberrystand.wire.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import org.cranberrystand.dispatch.UpstreamUsage;
import org.cranberrystand.membership.PeerReport;
import org.cranberrystand.wire.Json;

/** Writes and reads reports between nodes as JSON with short names, since they are sent often. */
public final class PeerReportCodec {
  private PeerReportCodec() {}

  /**
   * Writes a report.
   *
   * @param report the report
   * @return UTF-8 JSON
   */
  public static byte[] encode(PeerReport report) {
    ObjectNode root = Json.MAPPER.createObjectNode();
    root.put("n", report.node());
    root.put("i", report.incarnation());
    root.put("s", report.sequence());
    root.put("h", report.host());
    root.put("d", report.failureDomain());
    root.put("a", report.callerAddress());
    root.put("o", report.offered());
    root.put("r", report.revision());
    ObjectNode usage = root.putObject("u");
    report
        .usage()
        .forEach((id, use) -> usage.putArray(id).add(use.running()).add(use.prefillTokens()));
    ObjectNode quota = root.putObject("q");
    report.quotaUnits().forEach(quota::put);
    ObjectNode balances = root.putObject("b");
    report.quotaBalances().forEach(balances::put);
    ObjectNode crashes = root.putObject("c");
    report.crashes().forEach((print, count) -> crashes.put(Long.toHexString(print), count));
    ArrayNode hosts = root.putArray("p");
    report.hosts().forEach(hosts::add);
    return Json.toBytes(root);
  }

  /**
   * Reads a report.
   *
   * @param bytes UTF-8 JSON
   * @return the report
   * @throws IOException if the input is malformed
   */
  public static PeerReport decode(byte[] bytes) throws IOException {
    JsonNode root = Json.readTree(bytes);
    if (root == null || !root.path("n").isTextual() || !root.path("i").isIntegralNumber()) {
      throw new IOException("not a report of a node");
    }
    try {
      return decode(root);
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
    ImmutableMap.Builder<Long, Integer> crashes = ImmutableMap.builder();
    root.path("c")
        .properties()
        .forEach(e -> crashes.put(Long.parseUnsignedLong(e.getKey(), 16), e.getValue().asInt()));
    ImmutableList.Builder<String> hosts = ImmutableList.builder();
    root.path("p").forEach(host -> hosts.add(host.asText()));
    return new PeerReport(
        root.path("n").asText(),
        root.path("i").asLong(),
        root.path("s").asLong(),
        root.path("h").asText(),
        root.path("d").asText(),
        root.path("a").asText(),
        root.path("o").asBoolean(),
        root.path("r").asLong(),
        usage.build(),
        amounts(root.path("q")),
        amounts(root.path("b")),
        crashes.build(),
        hosts.build());
  }

  private static ImmutableMap<String, Double> amounts(JsonNode node) {
    ImmutableMap.Builder<String, Double> amounts = ImmutableMap.builder();
    node.properties().forEach(e -> amounts.put(e.getKey(), e.getValue().asDouble()));
    return amounts.build();
  }
}

package org.cranberrystand.daemon.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cranberrystand.membership.PublishedVersion;
import org.cranberrystand.wire.Json;

/** Encodes and decodes updates of the published state as JSON, for the exchange between nodes. */
final class PublishedStateCodec {
  private PublishedStateCodec() {}

  static byte[] encode(PublishedUpdate update) {
    ObjectNode root = Json.MAPPER.createObjectNode();
    root.put("era", update.version().era());
    root.put("revision", update.version().revision());
    root.put("whole", update.isSnapshot());
    ArrayNode values = root.putArray("values");
    for (PublishedValue value : update.values()) {
      ObjectNode node =
          values
              .addObject()
              .put("key", value.key())
              .put("revision", value.revision())
              .put("text", value.text());
      if (!value.defect().isEmpty()) {
        node.put("defect", value.defect());
      }
    }
    return Json.toBytes(root);
  }

  static PublishedUpdate decode(String text) throws IOException {
    JsonNode root = Json.readTree(text.getBytes(StandardCharsets.UTF_8));
    if (root == null || !root.path("revision").isIntegralNumber()) {
      throw new IOException("published state lacks an integer \"revision\"");
    }
    ImmutableList.Builder<PublishedValue> values = ImmutableList.builder();
    for (JsonNode value : root.path("values")) {
      values.add(
          new PublishedValue(
              value.path("key").asText(),
              value.path("revision").asLong(),
              0,
              value.path("text").textValue(),
              value.path("defect").asText()));
    }
    return new PublishedUpdate(
        new PublishedVersion(root.path("era").asLong(), root.path("revision").asLong()),
        root.path("whole").asBoolean(),
        values.build());
  }
}

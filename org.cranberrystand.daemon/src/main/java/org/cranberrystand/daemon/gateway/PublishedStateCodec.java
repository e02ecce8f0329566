package org.cranberrystand.daemon.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.cranberrystand.wire.Json;

/** Writes and reads the published state for other nodes, as JSON. */
final class PublishedStateCodec {
  private PublishedStateCodec() {}

  static byte[] encode(PublishedState state) {
    ObjectNode root = Json.MAPPER.createObjectNode();
    root.put("revision", state.revision());
    ArrayNode values = root.putArray("values");
    for (PublishedValue value : state.values().values()) {
      values
          .addObject()
          .put("key", value.key())
          .put("revision", value.revision())
          .put("text", value.text());
    }
    return Json.toBytes(root);
  }

  static PublishedState decode(String text) throws IOException {
    JsonNode root = Json.readTree(text.getBytes(StandardCharsets.UTF_8));
    if (root == null || !root.path("revision").isIntegralNumber()) {
      throw new IOException("not a published state");
    }
    ImmutableMap.Builder<String, PublishedValue> values = ImmutableMap.builder();
    for (JsonNode value : root.path("values")) {
      String key = value.path("key").asText();
      values.put(
          key,
          new PublishedValue(key, value.path("revision").asLong(), value.path("text").asText()));
    }
    return new PublishedState(root.path("revision").asLong(), values.buildKeepingLast());
  }
}

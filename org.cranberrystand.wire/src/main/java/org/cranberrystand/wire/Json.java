package org.cranberrystand.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Reads and writes JSON with a shared mapper. Thread-safe. */
public final class Json {
  /**
   * Mapper for records. Ignores unknown properties, so that nodes and tools of different versions
   * can exchange documents.
   */
  public static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private Json() {}

  /**
   * Serializes a value to UTF-8 JSON.
   *
   * @param value the value
   * @return the encoded JSON
   */
  public static byte[] toBytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Serializes a value to a JSON string.
   *
   * @param value the value
   * @return the JSON text
   */
  public static String toText(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Deserializes a value; the input may be untrusted.
   *
   * @param <T> the type of the value
   * @param bytes UTF-8 JSON
   * @param type the class of the value
   * @return the value; never null
   * @throws IOException if the input is malformed, is JSON null or does not match the type
   */
  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    T value = MAPPER.readValue(bytes, type);
    if (value == null) {
      throw new IOException("JSON null where " + type.getSimpleName() + " was expected");
    }
    return value;
  }

  /**
   * Parses JSON into a tree; the input may be untrusted.
   *
   * @param bytes UTF-8 JSON
   * @return the root node
   * @throws IOException if the input is malformed
   */
  public static JsonNode readTree(byte[] bytes) throws IOException {
    return MAPPER.readTree(bytes);
  }
}

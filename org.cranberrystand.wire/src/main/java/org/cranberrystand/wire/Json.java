package org.cranberrystand.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Shared JSON mapper. Safe for use by several threads. */
public final class Json {
  /** Mapper for records; unknown properties are ignored so that versions can be mixed. */
  public static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private Json() {}

  /**
   * Writes a value.
   *
   * @param value the value
   * @return UTF-8 JSON
   */
  public static byte[] toBytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Writes a value.
   *
   * @param value the value
   * @return JSON text
   */
  public static String toText(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads a value from trusted or untrusted input.
   *
   * @param <T> the type to read
   * @param bytes UTF-8 JSON
   * @param type the type to read
   * @return the value
   * @throws IOException if the input is malformed or does not fit the type
   */
  public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    T value = MAPPER.readValue(bytes, type);
    if (value == null) {
      throw new IOException("JSON null where " + type.getSimpleName() + " was expected");
    }
    return value;
  }

  /**
   * Reads a tree from trusted or untrusted input.
   *
   * @param bytes UTF-8 JSON
   * @return the tree
   * @throws IOException if the input is malformed
   */
  public static JsonNode readTree(byte[] bytes) throws IOException {
    return MAPPER.readTree(bytes);
  }
}

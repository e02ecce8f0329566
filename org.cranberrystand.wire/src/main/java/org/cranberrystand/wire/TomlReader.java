package org.cranberrystand.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.cranberrystand.util.Findings;

/**
 * Reads typed values from one table of a TOML document and records what is wrong.
 *
 * <p>A missing or malformed value is reported as a finding and replaced by the default, so that all
 * findings of a document are collected in one pass. Not thread-safe.
 */
public final class TomlReader {
  private final TomlDocument document;
  private final JsonNode table;
  private final String path;
  private final Findings findings;
  private final Set<String> known = new HashSet<>();

  private TomlReader(TomlDocument document, JsonNode table, String path, Findings findings) {
    this.document = document;
    this.table = table;
    this.path = path;
    this.findings = findings;
  }

  /**
   * Creates a reader of the top-level table.
   *
   * @param document the document
   * @param findings receives what is wrong
   * @return a reader
   */
  public static TomlReader ofRoot(TomlDocument document, Findings findings) {
    return new TomlReader(document, document.root(), "", findings);
  }

  /**
   * Reads a required string.
   *
   * @param key the key
   * @return the value, or an empty string after a finding
   */
  public String requiredText(String key) {
    JsonNode node = take(key);
    if (node == null) {
      report(key, "is required");
      return "";
    }
    return text(key, node, "");
  }

  /**
   * Reads an optional string.
   *
   * @param key the key
   * @param fallback the value if the key is absent
   * @return the value
   */
  public String text(String key, String fallback) {
    JsonNode node = take(key);
    return node == null ? fallback : text(key, node, fallback);
  }

  /**
   * Reads an optional whole number.
   *
   * @param key the key
   * @param fallback the value if the key is absent
   * @param min the least accepted value
   * @param max the greatest accepted value
   * @return the value
   */
  public long wholeNumber(String key, long fallback, long min, long max) {
    JsonNode node = take(key);
    if (node == null) {
      return fallback;
    }
    if (!node.isIntegralNumber() || !node.canConvertToLong()) {
      report(key, "must be a whole number from " + min + " to " + max);
      return fallback;
    }
    if (node.asLong() < min || node.asLong() > max) {
      report(key, "is " + node.asLong() + " but must be from " + min + " to " + max);
      return fallback;
    }
    return node.asLong();
  }

  /**
   * Reads an optional number.
   *
   * @param key the key
   * @param fallback the value if the key is absent
   * @param min the least accepted value
   * @param max the greatest accepted value
   * @return the value
   */
  public double number(String key, double fallback, double min, double max) {
    JsonNode node = take(key);
    if (node == null) {
      return fallback;
    }
    double value = node.asDouble(Double.NaN);
    if (!node.isNumber() || !(value >= min && value <= max)) {
      report(key, "must be a number from " + min + " to " + max);
      return fallback;
    }
    return value;
  }

  /**
   * Reads an optional truth value.
   *
   * @param key the key
   * @param fallback the value if the key is absent
   * @return the value
   */
  public boolean flag(String key, boolean fallback) {
    JsonNode node = take(key);
    if (node == null) {
      return fallback;
    }
    if (!node.isBoolean()) {
      report(key, "must be true or false");
      return fallback;
    }
    return node.asBoolean();
  }

  /**
   * Reads an optional list of strings.
   *
   * @param key the key
   * @return the values in order, without repetition
   */
  public ImmutableSet<String> textSet(String key) {
    ImmutableSet.Builder<String> values = ImmutableSet.builder();
    for (JsonNode element : array(key)) {
      if (element.isTextual()) {
        values.add(element.asText());
      } else {
        report(key, "must be a list of strings");
      }
    }
    return values.build();
  }

  /**
   * Reads an optional list of whole numbers.
   *
   * @param key the key
   * @return the values in order, without repetition
   */
  public ImmutableSet<Integer> numberSet(String key) {
    ImmutableSet.Builder<Integer> values = ImmutableSet.builder();
    for (JsonNode element : array(key)) {
      if (element.isInt()) {
        values.add(element.asInt());
      } else {
        report(key, "must be a list of whole numbers");
      }
    }
    return values.build();
  }

  /**
   * Opens an optional table.
   *
   * @param key the key
   * @return a reader; of an empty table if the key is absent
   */
  public TomlReader table(String key) {
    JsonNode node = take(key);
    if (node != null && !node.isObject()) {
      report(key, "must be a table");
    }
    JsonNode content = node != null && node.isObject() ? node : Json.MAPPER.createObjectNode();
    return new TomlReader(document, content, pathOf(key), findings);
  }

  /**
   * Opens an optional array of tables.
   *
   * @param key the key
   * @return one reader per element
   */
  public List<TomlReader> tables(String key) {
    List<TomlReader> readers = new ArrayList<>();
    int index = 0;
    for (JsonNode element : array(key)) {
      String elementPath = pathOf(key) + "." + index++;
      if (element.isObject()) {
        readers.add(new TomlReader(document, element, elementPath, findings));
      } else {
        findings.add(document.lineOf(elementPath), elementPath, "must be a table");
      }
    }
    return readers;
  }

  /** Reports every key of the table that was not read. */
  public void rejectUnknownKeys() {
    Iterator<String> names = table.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!known.contains(name)) {
        report(name, "is not a known key; known keys are " + String.join(", ", sortedKnown()));
      }
    }
  }

  /**
   * Reports a finding at a key of this table.
   *
   * @param key the key
   * @param message what is wrong and what is accepted instead
   */
  public void report(String key, String message) {
    String full = pathOf(key);
    findings.add(document.lineOf(full), full, message);
  }

  private List<String> sortedKnown() {
    return known.stream().sorted().toList();
  }

  private JsonNode array(String key) {
    JsonNode node = take(key);
    if (node != null && !node.isArray()) {
      report(key, "must be a list");
    }
    return node != null && node.isArray() ? node : Json.MAPPER.createArrayNode();
  }

  private String text(String key, JsonNode node, String fallback) {
    if (!node.isTextual()) {
      report(key, "must be a string");
      return fallback;
    }
    return node.asText();
  }

  private JsonNode take(String key) {
    known.add(key);
    return table.get(key);
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}

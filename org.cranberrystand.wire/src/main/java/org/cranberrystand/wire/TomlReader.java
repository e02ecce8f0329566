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
 * Reads typed values from one table of a TOML document and reports invalid ones as findings.
 *
 * <p>A missing required value or an invalid value becomes a finding, and the method returns a
 * default, so that one pass collects all findings of a document. Not thread-safe.
 */
public final class TomlReader {
  private final TomlDocument document;
  private final JsonNode table;
  private final String path;
  private final Findings findings;
  private final Set<String> knownKeys = new HashSet<>();

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
   * @param findings collects the findings
   * @return the reader
   */
  public static TomlReader ofRoot(TomlDocument document, Findings findings) {
    return new TomlReader(document, document.root(), "", findings);
  }

  /**
   * Reads a required string.
   *
   * @param key the key
   * @return the value, or an empty string if it was reported as a finding
   */
  public String getRequiredString(String key) {
    JsonNode node = findValue(key);
    if (node == null) {
      report(key, "is required");
      return "";
    }
    return stringOf(key, node, "");
  }

  /**
   * Reads an optional string.
   *
   * @param key the key
   * @param fallback the value if the key is absent or its value is invalid
   * @return the value or the fallback
   */
  public String getString(String key, String fallback) {
    JsonNode node = findValue(key);
    return node == null ? fallback : stringOf(key, node, fallback);
  }

  /**
   * Reads an optional integer.
   *
   * @param key the key
   * @param fallback the value if the key is absent or its value is invalid
   * @param min the smallest accepted value
   * @param max the largest accepted value
   * @return the value or the fallback
   */
  public long getLong(String key, long fallback, long min, long max) {
    JsonNode node = findValue(key);
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
   * Reads an optional integer or float.
   *
   * @param key the key
   * @param fallback the value if the key is absent or its value is invalid
   * @param min the smallest accepted value
   * @param max the largest accepted value
   * @return the value or the fallback
   */
  public double getDouble(String key, double fallback, double min, double max) {
    JsonNode node = findValue(key);
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
   * Reads an optional boolean.
   *
   * @param key the key
   * @param fallback the value if the key is absent or its value is invalid
   * @return the value or the fallback
   */
  public boolean getBoolean(String key, boolean fallback) {
    JsonNode node = findValue(key);
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
   * Reads an optional array of strings; elements of another type become findings.
   *
   * @param key the key
   * @return the strings in document order, without duplicates
   */
  public ImmutableSet<String> getStringSet(String key) {
    ImmutableSet.Builder<String> values = ImmutableSet.builder();
    for (JsonNode element : getElements(key)) {
      if (element.isTextual()) {
        values.add(element.asText());
      } else {
        report(key, "must be a list of strings");
      }
    }
    return values.build();
  }

  /**
   * Reads an optional array of integers; other elements become findings.
   *
   * @param key the key
   * @return the integers in document order, without duplicates
   */
  public ImmutableSet<Integer> getIntegerSet(String key) {
    ImmutableSet.Builder<Integer> values = ImmutableSet.builder();
    for (JsonNode element : getElements(key)) {
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
   * @return a reader of the table, or of an empty table if the key is absent or not a table
   */
  public TomlReader getTable(String key) {
    JsonNode node = findValue(key);
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
   * @return one reader for each element that is a table
   */
  public List<TomlReader> getTables(String key) {
    List<TomlReader> readers = new ArrayList<>();
    int index = 0;
    for (JsonNode element : getElements(key)) {
      String elementPath = pathOf(key) + "." + index++;
      if (element.isObject()) {
        readers.add(new TomlReader(document, element, elementPath, findings));
      } else {
        findings.add(document.lineOf(elementPath), elementPath, "must be a table");
      }
    }
    return readers;
  }

  /** Reports every key of the table that this reader was not asked for. */
  public void rejectUnknownKeys() {
    Iterator<String> names = table.fieldNames();
    while (names.hasNext()) {
      String name = names.next();
      if (!knownKeys.contains(name)) {
        report(name, "is not a known key; known keys are " + String.join(", ", sortedKnownKeys()));
      }
    }
  }

  /**
   * Adds a finding at a key of this table.
   *
   * @param key the key
   * @param message the defect and the accepted values
   */
  public void report(String key, String message) {
    String fullPath = pathOf(key);
    findings.add(document.lineOf(fullPath), fullPath, message);
  }

  private List<String> sortedKnownKeys() {
    return knownKeys.stream().sorted().toList();
  }

  private JsonNode getElements(String key) {
    JsonNode node = findValue(key);
    if (node != null && !node.isArray()) {
      report(key, "must be a list");
    }
    return node != null && node.isArray() ? node : Json.MAPPER.createArrayNode();
  }

  private String stringOf(String key, JsonNode node, String fallback) {
    if (!node.isTextual()) {
      report(key, "must be a string");
      return fallback;
    }
    return node.asText();
  }

  private JsonNode findValue(String key) {
    knownKeys.add(key);
    return table.get(key);
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }
}

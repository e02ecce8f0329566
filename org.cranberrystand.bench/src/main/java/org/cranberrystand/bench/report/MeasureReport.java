package org.cranberrystand.bench.report;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Strings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.cranberrystand.wire.Json;

/** Writes measures as JSON and as a table. */
public final class MeasureReport {
  private static final int NAME_WIDTH = 30;
  private static final int NUMBER_WIDTH = 12;

  private MeasureReport() {}

  /**
   * Converts measures to JSON.
   *
   * @param measures the measures
   * @return an array of objects with name, value, bound, direction and pass
   */
  public static ArrayNode toJson(List<Measure> measures) {
    ArrayNode array = Json.MAPPER.createArrayNode();
    for (Measure measure : measures) {
      ObjectNode node = array.addObject();
      node.put("name", measure.name());
      node.put("value", measure.value());
      node.put("bound", measure.bound());
      node.put("direction", measure.direction().label());
      node.put("pass", measure.pass());
    }
    return array;
  }

  /**
   * Writes measures to a JSON file.
   *
   * @param measures the measures
   * @param file the file
   * @throws IOException if the file cannot be written
   */
  public static void write(List<Measure> measures, Path file) throws IOException {
    ObjectNode root = Json.MAPPER.createObjectNode();
    root.set("measures", toJson(measures));
    Files.write(file, Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsBytes(root));
  }

  /**
   * Formats measures as a table.
   *
   * @param title the line above the table
   * @param measures the measures
   * @return the table; every line ends with a line feed
   */
  public static String toTable(String title, List<Measure> measures) {
    StringBuilder table = new StringBuilder(title).append('\n');
    for (Measure measure : measures) {
      table
          .append(Strings.padEnd(measure.name(), NAME_WIDTH, ' '))
          .append(Strings.padStart(number(measure.value()), NUMBER_WIDTH, ' '))
          .append("  ")
          .append(Strings.padEnd(measure.direction().label(), NUMBER_WIDTH, ' '))
          .append(Strings.padStart(number(measure.bound()), NUMBER_WIDTH, ' '))
          .append(measure.pass() ? "  pass\n" : "  MISS\n");
    }
    return table.toString();
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.4f", value);
  }
}

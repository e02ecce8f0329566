package org.cranberrystand.wire;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cranberrystand.util.Checked;
import org.cranberrystand.util.Findings;

/**
 * TOML text as a tree, with the line of each key.
 *
 * <p>The Jackson parser gives no location for keys of a valid document, so the lines are read from
 * the text. Keys are dotted paths; elements of arrays of tables are numbered from 0, as in {@code
 * kinds.0.name}. Immutable.
 */
public final class TomlDocument {
  private static final TomlMapper MAPPER = new TomlMapper();
  private static final Pattern ARRAY_HEADER =
      Pattern.compile("\\s*\\[\\[\\s*([^\\]]+?)\\s*\\]\\].*");
  private static final Pattern TABLE_HEADER = Pattern.compile("\\s*\\[\\s*([^\\[\\]]+?)\\s*\\].*");
  private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_.\"'-]+)\\s*=.*");

  private final JsonNode root;
  private final ImmutableMap<String, Integer> lines;

  private TomlDocument(JsonNode root, ImmutableMap<String, Integer> lines) {
    this.root = root;
    this.lines = lines;
  }

  /**
   * Parses a document.
   *
   * @param file the name of the file for findings
   * @param text the text
   * @return the document, or one finding with the place of the syntax error
   */
  public static Checked<TomlDocument> parse(String file, String text) {
    try {
      JsonNode root = MAPPER.readTree(text);
      return new Checked.Valid<>(new TomlDocument(root, indexLines(text)));
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      Findings findings = new Findings(file);
      int line = location == null ? 0 : Math.max(0, location.getLineNr());
      findings.add(line, "", "not valid TOML: " + e.getOriginalMessage());
      return new Checked.Invalid<>(findings.toList());
    }
  }

  public JsonNode root() {
    return root;
  }

  /**
   * Returns the line of a key, or of the nearest table that contains it.
   *
   * @param key the dotted path
   * @return the line counted from 1, or 0 if neither the key nor a parent is in the text
   */
  public int lineOf(String key) {
    String path = key;
    while (!path.isEmpty()) {
      Integer line = lines.get(path);
      if (line != null) {
        return line;
      }
      int dot = path.lastIndexOf('.');
      path = dot < 0 ? "" : path.substring(0, dot);
    }
    return 0;
  }

  private static ImmutableMap<String, Integer> indexLines(String text) {
    Map<String, Integer> lines = new HashMap<>();
    Map<String, Integer> arraySizes = new HashMap<>();
    String prefix = "";
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      Matcher array = ARRAY_HEADER.matcher(line);
      Matcher table = TABLE_HEADER.matcher(line);
      Matcher key = KEY.matcher(line);
      if (array.matches()) {
        int index = arraySizes.merge(array.group(1), 1, Integer::sum) - 1;
        prefix = array.group(1) + "." + index + ".";
        lines.putIfAbsent(prefix.substring(0, prefix.length() - 1), number);
      } else if (table.matches()) {
        prefix = table.group(1) + ".";
        lines.putIfAbsent(table.group(1), number);
      } else if (key.matches()) {
        lines.putIfAbsent(prefix + key.group(1), number);
      }
    }
    return ImmutableMap.copyOf(lines);
  }
}

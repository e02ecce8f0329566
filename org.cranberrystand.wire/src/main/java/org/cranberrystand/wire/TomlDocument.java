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
 * Parsed TOML document with the line number of each key.
 *
 * <p>The Jackson parser gives no location for the keys of a valid document, so a separate scan of
 * the text finds the line numbers. Keys are dotted paths; elements of arrays of tables are numbered
 * from 0, as in {@code kinds.0.name}. Immutable.
 */
public final class TomlDocument {
  private static final TomlMapper MAPPER = new TomlMapper();
  private static final Pattern ARRAY_HEADER =
      Pattern.compile("\\s*\\[\\[\\s*([^\\]]+?)\\s*\\]\\].*");
  private static final Pattern TABLE_HEADER = Pattern.compile("\\s*\\[\\s*([^\\[\\]]+?)\\s*\\].*");
  private static final Pattern KEY = Pattern.compile("\\s*([A-Za-z0-9_.\"'-]+)\\s*=.*");

  private final JsonNode root;
  private final ImmutableMap<String, Integer> lineNumbers;

  private TomlDocument(JsonNode root, ImmutableMap<String, Integer> lineNumbers) {
    this.root = root;
    this.lineNumbers = lineNumbers;
  }

  /**
   * Parses a document.
   *
   * @param file the file name to report in findings
   * @param text the TOML text
   * @return the document, or one finding with the line of the syntax error
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
   * Returns the line number of a key, or of the nearest table that contains it.
   *
   * @param key the dotted path
   * @return the line number from 1, or 0 if neither the key nor an enclosing table was found
   */
  public int lineOf(String key) {
    String path = key;
    while (!path.isEmpty()) {
      Integer line = lineNumbers.get(path);
      if (line != null) {
        return line;
      }
      int dot = path.lastIndexOf('.');
      path = dot < 0 ? "" : path.substring(0, dot);
    }
    return 0;
  }

  private static ImmutableMap<String, Integer> indexLines(String text) {
    Map<String, Integer> lineNumbers = new HashMap<>();
    Map<String, Integer> arraySizes = new HashMap<>();
    String prefix = "";
    int lineNumber = 0;
    for (String line : text.split("\n", -1)) {
      lineNumber++;
      Matcher arrayHeader = ARRAY_HEADER.matcher(line);
      Matcher tableHeader = TABLE_HEADER.matcher(line);
      Matcher key = KEY.matcher(line);
      if (arrayHeader.matches()) {
        int index = arraySizes.merge(arrayHeader.group(1), 1, Integer::sum) - 1;
        prefix = arrayHeader.group(1) + "." + index + ".";
        lineNumbers.putIfAbsent(prefix.substring(0, prefix.length() - 1), lineNumber);
      } else if (tableHeader.matches()) {
        prefix = tableHeader.group(1) + ".";
        lineNumbers.putIfAbsent(tableHeader.group(1), lineNumber);
      } else if (key.matches()) {
        lineNumbers.putIfAbsent(prefix + key.group(1), lineNumber);
      }
    }
    return ImmutableMap.copyOf(lineNumbers);
  }
}

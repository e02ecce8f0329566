package org.cranberrystand.pgm;

import com.google.common.base.Strings;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.wire.Json;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Standard output and error of a command, with the option {@code --json}. Not thread-safe. */
final class Output {
  private static final String COLUMN_SEPARATOR = "  ";

  @Spec(Spec.Target.MIXEE)
  private CommandSpec spec;

  @Option(names = "--json", description = "Print JSON instead of text.")
  private boolean json;

  boolean isJson() {
    return json;
  }

  PrintWriter out() {
    return spec.commandLine().getOut();
  }

  PrintWriter err() {
    return spec.commandLine().getErr();
  }

  /**
   * Prints a value as JSON if {@code --json} is set, as text otherwise.
   *
   * @param value the value to print as JSON
   * @param text prints the value as text
   */
  void print(Object value, Runnable text) {
    if (json) {
      out().println(Json.toText(value));
    } else {
      text.run();
    }
    out().flush();
  }

  /**
   * Prints a message to the error stream, so that scripts can parse the standard output.
   *
   * @param line the message
   */
  void note(String line) {
    err().println(line);
    err().flush();
  }

  /** Text table with aligned columns. */
  static final class Table {
    private final List<String[]> rows = new ArrayList<>();

    Table(String... headings) {
      rows.add(headings);
    }

    Table addRow(Object... cells) {
      String[] texts = new String[cells.length];
      for (int i = 0; i < cells.length; i++) {
        texts[i] = String.valueOf(cells[i]);
      }
      rows.add(texts);
      return this;
    }

    void printTo(PrintWriter out) {
      int[] widths = new int[rows.get(0).length];
      for (String[] row : rows) {
        for (int i = 0; i < row.length; i++) {
          widths[i] = Math.max(widths[i], row[i].length());
        }
      }
      for (String[] row : rows) {
        StringBuilder line = new StringBuilder();
        for (int i = 0; i < row.length; i++) {
          line.append(Strings.padEnd(row[i], widths[i], ' ')).append(COLUMN_SEPARATOR);
        }
        out.println(line.toString().stripTrailing());
      }
    }
  }
}

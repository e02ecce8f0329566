package org.cranberrystand.pgm;

import com.google.common.base.Strings;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.wire.Json;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Option {@code --json} and printing. Not thread-safe. */
final class Output {
  private static final String COLUMN_GAP = "  ";

  @Spec(Spec.Target.MIXEE)
  private CommandSpec spec;

  @Option(names = "--json", description = "Print JSON for scripts.")
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
   * Prints a value as JSON, or as text.
   *
   * @param value the value
   * @param text prints it for people
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
   * Prints a line for people on the error stream, where it does not disturb scripts.
   *
   * @param line the line
   */
  void note(String line) {
    err().println(line);
    err().flush();
  }

  /** Rows of text in columns. */
  static final class Table {
    private final List<String[]> rows = new ArrayList<>();

    Table(String... headings) {
      rows.add(headings);
    }

    Table row(Object... cells) {
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
          line.append(Strings.padEnd(row[i], widths[i], ' ')).append(COLUMN_GAP);
        }
        out.println(line.toString().stripTrailing());
      }
    }
  }
}

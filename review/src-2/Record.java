import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case. Thread-safe. */
final class Record {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the seconds since the start of the case. */
  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void write(String format, Object... arguments) {
    out.printf("%8.3f  %s%n", seconds(), String.format(format, arguments));
    out.flush();
  }
}

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each thing that was sent, answered or run. Thread-safe. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the time since the start of the case, in milliseconds. */
  double millis() {
    return millis(System.nanoTime());
  }

  double millis(long nanos) {
    return (nanos - startNanos) / 1e6;
  }

  synchronized void line(String text) {
    line(System.nanoTime(), text);
  }

  synchronized void line(long nanos, String text) {
    out.println(String.format(Locale.ROOT, "%10.1f ms  %s", millis(nanos), text));
  }

  /** Writes a line that also appears on standard output. */
  synchronized void say(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}

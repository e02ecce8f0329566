package org.cranberrystand.daemon;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.cranberrystand.daemon.internal.JsonLinesFormatter;

/** Log output of the process. */
final class LogOutput {

  private LogOutput() {}

  /**
   * Writes all log records as lines of JSON to the standard error stream.
   *
   * @param level the least severe level to write
   */
  static void useJsonLines(Level level) {
    LogManager.getLogManager().reset();
    Handler handler = new ConsoleHandler();
    handler.setLevel(level);
    handler.setFormatter(new JsonLinesFormatter());
    Logger root = Logger.getLogger("");
    root.setLevel(level);
    root.addHandler(handler);
  }
}

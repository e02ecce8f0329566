package org.cranberrystand.daemon;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.cranberrystand.daemon.internal.BoundedLogHandler;
import org.cranberrystand.daemon.internal.JsonLinesFormatter;

/** Log output of the process. */
final class LogOutput {

  /** Libraries report each step of their start at INFO. */
  private static final Logger RATPACK = Logger.getLogger("ratpack");

  private LogOutput() {}

  /**
   * Writes all log records as lines of JSON to the standard output stream.
   *
   * @param level the least severe level to write
   * @return the output; to be closed at the end of the process, so that the last lines are written
   */
  static Handler useJsonLines(Level level) {
    LogManager.getLogManager().reset();
    Handler handler =
        new BoundedLogHandler(new FileOutputStream(FileDescriptor.out), new JsonLinesFormatter());
    handler.setLevel(level);
    Logger root = Logger.getLogger("");
    root.setLevel(level);
    root.addHandler(handler);
    RATPACK.setLevel(Level.WARNING);
    return handler;
  }
}

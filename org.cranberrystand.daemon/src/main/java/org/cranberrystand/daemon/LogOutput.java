package org.cranberrystand.daemon;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.cranberrystand.daemon.internal.BoundedLogHandler;
import org.cranberrystand.daemon.internal.JsonLinesFormatter;

/** Configures the log output of the process. */
final class LogOutput {

  /** Limited to warnings, because Ratpack logs each step of its start at INFO. */
  private static final Logger RATPACK_LOGGER = Logger.getLogger("ratpack");

  private LogOutput() {}

  /**
   * Replaces all log handlers by one that writes JSON lines to standard output.
   *
   * @param level the least severe level to write
   * @return the handler; must be closed before the process ends, to write the queued records
   */
  static Handler installJsonLinesHandler(Level level) {
    LogManager.getLogManager().reset();
    Handler handler =
        new BoundedLogHandler(new FileOutputStream(FileDescriptor.out), new JsonLinesFormatter());
    handler.setLevel(level);
    Logger root = Logger.getLogger("");
    root.setLevel(level);
    root.addHandler(handler);
    RATPACK_LOGGER.setLevel(Level.WARNING);
    return handler;
  }
}

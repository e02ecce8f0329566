package org.cranberrystand.event;

import java.util.logging.Level;

/** Severity of a log event. */
public enum Severity {
  /** Detail for diagnosis. */
  DEBUG,
  /** Normal operation. */
  INFO,
  /** Something an operator should look at. */
  WARNING,
  /** Something that needs an operator now. */
  ERROR;

  /**
   * Returns the level of the logging library.
   *
   * @return the level that corresponds to this severity
   */
  public Level toLevel() {
    return switch (this) {
      case DEBUG -> Level.FINE;
      case INFO -> Level.INFO;
      case WARNING -> Level.WARNING;
      case ERROR -> Level.SEVERE;
    };
  }
}

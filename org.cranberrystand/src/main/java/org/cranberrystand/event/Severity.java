package org.cranberrystand.event;

import java.util.logging.Level;

/** Severity of a log event. */
public enum Severity {
  /** Diagnostic detail. */
  DEBUG,
  /** Normal operation. */
  INFO,
  /** Condition that an operator should look into. */
  WARNING,
  /** Condition that requires immediate action by an operator. */
  ERROR;

  /**
   * Returns the level of the logging library.
   *
   * @return the corresponding {@code java.util.logging} level
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

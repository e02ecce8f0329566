package org.cranberrystand.daemon.internal;

import com.google.common.flogger.FluentLogger;
import org.cranberrystand.event.LogEvent;

/** Writes numbered log events. Safe for use by several threads. */
public final class EventLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String node;

  /**
   * Creates a log for one node.
   *
   * @param node the name of the node, written with each event
   */
  public EventLog(String node) {
    this.node = node;
  }

  /**
   * Writes an event.
   *
   * @param event the event
   * @param detail what happened in this case
   */
  public void write(LogEvent event, String detail) {
    logger.at(event.severity().toLevel()).log(
        "E%d %s node=%s %s", event.number(), event.text(), node, detail);
  }

  /**
   * Writes an event with its cause.
   *
   * @param event the event
   * @param detail what happened in this case
   * @param cause what was thrown
   */
  public void write(LogEvent event, String detail, Throwable cause) {
    logger.at(event.severity().toLevel()).withCause(cause).log(
        "E%d %s node=%s %s", event.number(), event.text(), node, detail);
  }
}

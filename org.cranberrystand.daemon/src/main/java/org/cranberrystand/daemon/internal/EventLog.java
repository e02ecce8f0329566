package org.cranberrystand.daemon.internal;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.LogSite;
import com.google.common.flogger.MetadataKey;
import org.cranberrystand.event.LogEvent;

/** Writes events with their numbers to the log. Safe for use by several threads. */
public final class EventLog {
  /** Metadata key of the event of a log record. */
  static final MetadataKey<LogEvent> EVENT = MetadataKey.single("event", LogEvent.class);

  /** Metadata key of the name of the node that wrote a log record. */
  static final MetadataKey<String> NODE = MetadataKey.single("node", String.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String node;

  /**
   * Creates the event log of one node.
   *
   * @param node the name of the node, which is written with each event
   */
  public EventLog(String node) {
    this.node = node;
  }

  /**
   * Writes an event.
   *
   * @param event the event
   * @param detail the details of the event, as {@code key=value} pairs
   */
  public void write(LogEvent event, String detail) {
    write(event, detail, null);
  }

  /**
   * Writes an event with its cause.
   *
   * <p>The number of the event identifies the place, so the stack is not searched for the caller.
   *
   * @param event the event
   * @param detail the details of the event, as {@code key=value} pairs
   * @param cause the exception that caused the event; may be null
   */
  public void write(LogEvent event, String detail, Throwable cause) {
    logger
        .at(event.severity().toLevel())
        .with(EVENT, event)
        .with(NODE, node)
        .withInjectedLogSite(LogSite.INVALID)
        .withCause(cause)
        .log("%s", detail);
  }
}

package org.cranberrystand.daemon.internal;

import com.google.common.flogger.FluentLogger;
import com.google.common.flogger.MetadataKey;
import org.cranberrystand.event.LogEvent;

/** Writes numbered log events. Safe for use by several threads. */
public final class EventLog {
  /** Key under which a log record carries its event. */
  static final MetadataKey<LogEvent> EVENT = MetadataKey.single("event", LogEvent.class);

  /** Key under which a log record carries the name of the node. */
  static final MetadataKey<String> NODE = MetadataKey.single("node", String.class);

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
   * @param detail what happened in this case, as {@code key=value} pairs
   */
  public void write(LogEvent event, String detail) {
    write(event, detail, null);
  }

  /**
   * Writes an event with its cause.
   *
   * @param event the event
   * @param detail what happened in this case, as {@code key=value} pairs
   * @param cause what was thrown; may be null
   */
  public void write(LogEvent event, String detail, Throwable cause) {
    logger
        .at(event.severity().toLevel())
        .with(EVENT, event)
        .with(NODE, node)
        .withCause(cause)
        .log("%s", detail);
  }
}

package org.cranberrystand.daemon.internal;

import com.google.common.base.Throwables;
import com.google.common.collect.ImmutableSet;
import com.google.common.flogger.backend.LogData;
import com.google.common.flogger.backend.Metadata;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.cranberrystand.event.EventFields;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.event.Severity;
import org.cranberrystand.wire.Json;

/**
 * Formats each log record as one line of JSON.
 *
 * <p>A detail of an event whose key is a reserved field name gets the prefix {@code x_}. Safe for
 * use by several threads.
 */
public final class JsonLinesFormatter extends Formatter {
  private static final ImmutableSet<String> RESERVED_FIELDS =
      ImmutableSet.of("time", "severity", "event", "name", "text", "node", "logger", "exception");

  @Override
  public String format(LogRecord logRecord) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("time", logRecord.getInstant().toString());
    LogEvent event = metadata(logRecord, EventLog.EVENT);
    if (event == null) {
      fields.put("severity", toSeverity(logRecord.getLevel()).name());
      fields.put("logger", logRecord.getLoggerName());
      fields.put("text", formatMessage(logRecord));
    } else {
      fields.put("severity", event.severity().name());
      fields.put("event", event.number());
      fields.put("name", event.name());
      fields.put("text", event.text());
      fields.put("node", metadata(logRecord, EventLog.NODE));
      EventFields.parse(formatDetail(logRecord))
          .forEach(
              (key, value) -> fields.put(RESERVED_FIELDS.contains(key) ? "x_" + key : key, value));
    }
    if (logRecord.getThrown() != null) {
      fields.put("exception", Throwables.getStackTraceAsString(logRecord.getThrown()));
    }
    return Json.toText(fields) + "\n";
  }

  private static <T> T metadata(LogRecord logRecord, com.google.common.flogger.MetadataKey<T> key) {
    if (logRecord instanceof AbstractLogRecord floggerRecord) {
      Metadata metadata = floggerRecord.getLogData().getMetadata();
      return metadata.findValue(key);
    }
    return null;
  }

  private static String formatDetail(LogRecord logRecord) {
    LogData data = ((AbstractLogRecord) logRecord).getLogData();
    Object detail =
        data.getTemplateContext() == null ? data.getLiteralArgument() : data.getArguments()[0];
    return String.valueOf(detail);
  }

  private static Severity toSeverity(Level level) {
    return Arrays.stream(Severity.values())
        .filter(severity -> severity.toLevel().intValue() <= level.intValue())
        .reduce((lower, higher) -> higher)
        .orElse(Severity.DEBUG);
  }
}

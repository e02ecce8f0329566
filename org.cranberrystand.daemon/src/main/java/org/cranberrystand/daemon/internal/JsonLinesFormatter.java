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
 * Writes each log record as one line of JSON.
 *
 * <p>Fields of an event cannot replace the fixed fields; such a field gets the prefix {@code x_}.
 * Safe for use by several threads.
 */
public final class JsonLinesFormatter extends Formatter {
  private static final ImmutableSet<String> FIXED_FIELDS =
      ImmutableSet.of("time", "severity", "event", "name", "text", "node", "logger", "exception");

  @Override
  public String format(LogRecord logRecord) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("time", logRecord.getInstant().toString());
    LogEvent event = metadata(logRecord, EventLog.EVENT);
    if (event == null) {
      line.put("severity", severityOf(logRecord.getLevel()).name());
      line.put("logger", logRecord.getLoggerName());
      line.put("text", formatMessage(logRecord));
    } else {
      line.put("severity", event.severity().name());
      line.put("event", event.number());
      line.put("name", event.name());
      line.put("text", event.text());
      line.put("node", metadata(logRecord, EventLog.NODE));
      EventFields.parse(detailOf(logRecord))
          .forEach((key, value) -> line.put(FIXED_FIELDS.contains(key) ? "x_" + key : key, value));
    }
    if (logRecord.getThrown() != null) {
      line.put("exception", Throwables.getStackTraceAsString(logRecord.getThrown()));
    }
    return Json.toText(line) + "\n";
  }

  private static <T> T metadata(LogRecord logRecord, com.google.common.flogger.MetadataKey<T> key) {
    if (logRecord instanceof AbstractLogRecord floggerRecord) {
      Metadata metadata = floggerRecord.getLogData().getMetadata();
      return metadata.findValue(key);
    }
    return null;
  }

  private static String detailOf(LogRecord logRecord) {
    LogData data = ((AbstractLogRecord) logRecord).getLogData();
    Object detail =
        data.getTemplateContext() == null ? data.getLiteralArgument() : data.getArguments()[0];
    return String.valueOf(detail);
  }

  private static Severity severityOf(Level level) {
    return Arrays.stream(Severity.values())
        .filter(severity -> severity.toLevel().intValue() <= level.intValue())
        .reduce((lower, higher) -> higher)
        .orElse(Severity.DEBUG);
  }
}

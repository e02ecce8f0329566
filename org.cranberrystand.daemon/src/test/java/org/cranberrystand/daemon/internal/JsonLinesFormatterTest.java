package org.cranberrystand.daemon.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.cranberrystand.event.LogEvent;
import org.cranberrystand.wire.Json;
import org.testng.annotations.Test;

public final class JsonLinesFormatterTest {

  private static final class LineCollector extends Handler {
    private final List<String> lines = new ArrayList<>();

    @Override
    public void publish(LogRecord logRecord) {
      lines.add(new JsonLinesFormatter().format(logRecord));
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  }

  /**
   * Guards against events that span several lines, and against details that replace reserved
   * fields, which happens if a detail has the key of such a field.
   */
  @Test
  public void eventIsOneLineWhoseFixedFieldsCannotBeReplaced() throws Exception {
    LineCollector collector = new LineCollector();
    Logger logger = Logger.getLogger(EventLog.class.getName());
    logger.addHandler(collector);
    logger.setUseParentHandlers(false);
    try {
      new EventLog("node-a")
          .write(LogEvent.BUNDLE_REFUSED, "severity=INFO source=a\nb %s", new Exception("x\ny"));
    } finally {
      logger.removeHandler(collector);
      logger.setUseParentHandlers(true);
    }

    String line = collector.lines.get(0);
    assertEquals(line.indexOf('\n'), line.length() - 1);
    JsonNode tree = Json.MAPPER.readTree(line);
    assertEquals(tree.path("event").asInt(), 2002);
    assertEquals(tree.path("severity").asText(), "WARNING");
    assertEquals(tree.path("x_severity").asText(), "INFO");
    assertEquals(tree.path("node").asText(), "node-a");
    assertEquals(tree.path("source").asText(), "a\nb %s");
    assertTrue(tree.path("exception").asText().contains("x\ny"));
  }

  @Test
  public void recordOfALibraryHasNoEventNumber() throws Exception {
    LogRecord libraryRecord = new LogRecord(Level.CONFIG, "port {0}");
    libraryRecord.setParameters(new Object[] {80});
    libraryRecord.setLoggerName("library");

    JsonNode tree = Json.MAPPER.readTree(new JsonLinesFormatter().format(libraryRecord));

    assertFalse(tree.has("event"));
    assertEquals(tree.path("text").asText(), "port 80");
    assertEquals(tree.path("severity").asText(), "DEBUG");
  }
}

package org.cranberrystand.event;

import static org.testng.Assert.assertEquals;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

public final class LogEventTest {
  private static final Path CATALOGUE = Path.of("..", "docs", "events.md");

  @Test
  public void catalogueListsExactlyTheEventsOfTheCode() throws IOException {
    List<String> documented =
        Files.readAllLines(CATALOGUE).stream()
            .filter(line -> line.matches("\\| \\d+ .*"))
            .map(line -> line.substring(0, line.lastIndexOf(" | ")))
            .toList();
    List<String> declared =
        Arrays.stream(LogEvent.values())
            .map(e -> "| %d | %s | %s | %s".formatted(e.number(), e, e.severity(), e.text()))
            .toList();

    assertEquals(documented, declared, "docs/events.md differs from LogEvent");
  }

  @Test
  public void eventNumbersAreUnique() {
    long distinct = Arrays.stream(LogEvent.values()).map(LogEvent::number).distinct().count();

    assertEquals(distinct, LogEvent.values().length);
  }

  @Test
  public void valuesMayContainSpaces() {
    assertEquals(
        EventFields.parse("not good cause=java.io.IOException: no route source=config-service"),
        ImmutableMap.of(
            "detail",
            "not good",
            "cause",
            "java.io.IOException: no route",
            "source",
            "config-service"));
  }
}

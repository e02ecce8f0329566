package org.cranberrystand.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class MainTest {
  private static final int TIMEOUT_SECONDS = 60;

  private Path config;
  private String errorText;

  @BeforeMethod
  public void writeSettings() throws IOException {
    config = Files.createTempFile(Path.of("target"), "node", ".toml");
    String example = Files.readString(Path.of("..", "config", "node.toml"));
    Files.writeString(
        config,
        example
            .replaceAll("= \"127.0.0.1:7[1-3]01\"", "= \"127.0.0.1:0\"")
            .replace("127.0.0.1:7000", "127.0.0.1:1"));
  }

  @Test
  public void checkReportsAllFindingsAndExitCodeTwo() throws IOException {
    assertEquals(check(config), 0);
    String text = Files.readString(config);
    Files.writeString(config, text.replace("node-1", "Node").replace("config_service", "x"));

    assertEquals(check(config), 2);
    assertTrue(errorText.contains("node: must be"), errorText);
    assertTrue(errorText.contains("platform.x: is not a known key"), errorText);
    assertTrue(errorText.contains("platform.config_service: is required"), errorText);
    assertEquals(check(Path.of("target", "none.toml")), 2);
  }

  /**
   * Guards against a process that ends on SIGTERM before the node is closed or before the queued
   * log events are written.
   */
  @Test
  public void sigtermStopsTheNodeAndItsLogIsComplete() throws Exception {
    Process process = startDaemon();
    try (BufferedReader log = process.inputReader(StandardCharsets.UTF_8)) {
      String line = log.readLine();
      while (line != null && !line.contains("\"name\":\"NODE_STARTED\"")) {
        line = log.readLine();
      }
      assertTrue(line != null, "the node did not start");
      // Unlike Process.destroy(), this leaves the streams open.
      process.toHandle().destroy();
      List<String> rest = log.lines().toList();

      assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the process did not end");
      assertEquals(process.exitValue(), 0);
      // Threads of the HTTP client may still log records without an event number.
      List<String> events = rest.stream().filter(l -> l.contains("\"event\":")).toList();
      assertTrue(
          events.get(events.size() - 1).contains("\"name\":\"NODE_STOPPED\""), rest.toString());
    } finally {
      process.destroyForcibly();
    }
  }

  /** Guards against a daemon that hangs or exits with code 0 when a port is already in use. */
  @Test
  public void takenPortGivesExitCodeOneAndAnEvent() throws Exception {
    try (java.net.ServerSocket taken =
        new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      String text = Files.readString(config);
      Files.writeString(
          config,
          text.replace(
              "operators = \"127.0.0.1:0\"",
              "operators = \"127.0.0.1:" + taken.getLocalPort() + "\""));
      Process process = startDaemon();
      try (BufferedReader log = process.inputReader(StandardCharsets.UTF_8)) {
        List<String> lines = log.lines().toList();
        assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the process did not end");
        assertEquals(process.exitValue(), 1);
        assertTrue(lines.toString().contains("\"name\":\"TASK_FAILED\""), lines.toString());
      } finally {
        process.destroyForcibly();
      }
    }
  }

  private Process startDaemon() throws IOException {
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx256m",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "--config",
            config.toString())
        .start();
  }

  private int check(Path file) {
    StringWriter errorWriter = new StringWriter();
    int code =
        Main.commandLine()
            .setErr(new PrintWriter(errorWriter, true))
            .execute("--config", file.toString(), "--check");
    errorText = errorWriter.toString();
    return code;
  }
}

package org.cranberrystand.bench.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.daemon.Main;
import org.cranberrystand.fake.EngineSpeed;
import org.cranberrystand.fake.FakeModelEngine;
import org.cranberrystand.wire.http.ApiHeaders;
import org.testng.annotations.Test;

/** Tests termination signals to a daemon in a separate process. */
public class TerminationTest {
  private static final Pattern ADDRESS = Pattern.compile("\"callers\":\"(127\\.0\\.0\\.1:\\d+)\"");
  private static final int LONG_ANSWER_TOKENS = 150;

  private final HttpClient http = HttpClient.newHttpClient();

  /**
   * Guards against a SIGTERM that interrupts an answer and a process that does not exit afterwards.
   */
  @Test(timeOut = 60_000)
  public void firstSignalLetsTheAnswerInProgressFinish() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FakeModelEngine engine = fleet.addEngine("assistant", EngineSpeed.SLOW);
      fleet.publish(RolloutFleet.bundleText(1));
      Process process = start(fleet);
      try {
        CompletableFuture<HttpResponse<String>> answer = openStream(process, engine);
        process.destroy();
        assertTrue(answer.get(20, TimeUnit.SECONDS).body().contains("[DONE]"));
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(process.exitValue(), 0);
      } finally {
        process.destroyForcibly();
      }
    }
  }

  /** Guards against a second SIGTERM that is ignored while a long answer is in progress. */
  @Test(timeOut = 60_000)
  public void secondSignalEndsTheProcessAtOnce() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FakeModelEngine engine = fleet.addEngine("assistant", EngineSpeed.SLOW);
      fleet.publish(RolloutFleet.bundleText(1));
      Process process = start(fleet);
      try {
        CompletableFuture<HttpResponse<String>> answer = openStream(process, engine);
        process.destroy();
        Thread.sleep(500);
        assertTrue(process.isAlive());
        process.destroy();
        assertTrue(process.waitFor(2, TimeUnit.SECONDS));
        assertEquals(process.exitValue(), 143);
        assertTrue(answer.handle((response, cause) -> cause != null).get(5, TimeUnit.SECONDS));
      } finally {
        process.destroyForcibly();
      }
    }
  }

  private CompletableFuture<HttpResponse<String>> openStream(
      Process process, FakeModelEngine engine) throws Exception {
    String address = awaitAddress(process);
    FleetChecks.await(
        "the daemon serves",
        Duration.ofSeconds(20),
        () ->
            http.send(request(address, 1), HttpResponse.BodyHandlers.ofString()).statusCode()
                == 200);
    int requestsBefore = engine.executedRequestIds().size();
    CompletableFuture<HttpResponse<String>> answer =
        http.sendAsync(request(address, LONG_ANSWER_TOKENS), HttpResponse.BodyHandlers.ofString());
    FleetChecks.await(
        "dispatch",
        Duration.ofSeconds(5),
        () -> engine.executedRequestIds().size() > requestsBefore);
    return answer;
  }

  private static Process start(EmbeddedFleet fleet) throws IOException {
    Path settings = Files.createTempFile("node", ".toml");
    Files.writeString(settings, fleet.settingsText("node-0"));
    settings.toFile().deleteOnExit();
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx256m",
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "--config",
            settings.toString())
        .redirectErrorStream(true)
        .start();
  }

  /** Reads the log up to the address; a thread drains the rest, so that the pipe never fills. */
  private static String awaitAddress(Process process) throws IOException {
    BufferedReader log = process.inputReader(StandardCharsets.UTF_8);
    StringBuilder seen = new StringBuilder();
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      seen.append(line).append('\n');
      Matcher matcher = ADDRESS.matcher(line);
      if (matcher.find()) {
        Thread reader = new Thread(() -> log.lines().forEach(rest -> {}), "log-reader");
        reader.setDaemon(true);
        reader.start();
        return matcher.group(1);
      }
    }
    throw new IOException("the daemon ended without an address: " + seen);
  }

  private static HttpRequest request(String address, int tokens) {
    return HttpRequest.newBuilder(URI.create("http://" + address + "/v1/requests/consultation"))
        .header(ApiHeaders.SHOP, "lajeado-counter")
        .header("Content-Type", "application/json")
        .POST(
            HttpRequest.BodyPublishers.ofString(
                "{\"prompt\":\"Which cane?\",\"max_tokens\":%d}".formatted(tokens)))
        .build();
  }
}

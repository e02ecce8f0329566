package org.cranberrystand.bench.overhead;

import com.google.common.io.Resources;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.cranberrystand.bench.demo.Demo;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.fake.EngineSpeed;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Compares calls through a node with direct calls to the same fakes.
 *
 * <p>Alternates between both paths every second, so that noise of the machine affects both equally.
 */
@Command(name = "overhead", description = "Measures the latency that a node adds to a call.")
public final class OverheadCommand implements Callable<Integer> {
  private static final String SHOP = "lajeado-counter";
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
  private static final int ENGINE_COUNT = 4;
  private static final EngineSpeed ZERO_LATENCY = new EngineSpeed(1e12, Duration.ZERO);
  private static final String COMPLETION_BODY =
      "{\"prompt\":\"Which cane suits a height of 1.62 m?\",\"max_tokens\":%d}";
  // One token shows the cost of a call, eight tokens the cost of additional events.
  private static final int[] STREAM_LENGTHS_TOKENS = {1, 8};
  private static final String STOCK_CHECK_BODY = "{\"item\":\"rebana\"}";

  @Option(names = "--out", required = true, description = "File for the measures, in JSON.")
  private Path out;

  @Option(names = "--rate", defaultValue = "1000", description = "Requests per second.")
  private int requestsPerSecond;

  @Option(names = "--seconds", defaultValue = "30", description = "Measured time per path.")
  private int seconds;

  @Option(names = "--warmup", defaultValue = "10", description = "Seconds before measuring.")
  private int warmupSeconds;

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  @Override
  public Integer call() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      fleet.publish(
          Resources.toString(
              Resources.getResource(Demo.class, "bundle.toml"), StandardCharsets.UTF_8));
      for (int i = 0; i < ENGINE_COUNT; i++) {
        fleet.addEngine("assistant", ZERO_LATENCY);
      }
      fleet.addService("orders");
      Node node = fleet.addNode();
      awaitReady(node);
      List<OverheadReport> reports = new ArrayList<>();
      reports.add(measureService(fleet, node));
      for (int tokens : STREAM_LENGTHS_TOKENS) {
        reports.add(measureStream(fleet, node, tokens));
      }
      Files.write(out, Json.MAPPER.writerWithDefaultPrettyPrinter().writeValueAsBytes(reports));
      reports.forEach(report -> System.out.println(Json.toText(report)));
      return reports.stream().allMatch(report -> report.failed() == 0) ? 0 : 1;
    }
  }

  private OverheadReport measureStream(EmbeddedFleet fleet, Node node, int tokens) {
    String prompt = COMPLETION_BODY.formatted(tokens);
    List<URI> engines =
        fleet.engines().stream()
            .map(engine -> URI.create("http://" + engine.address() + "/v1/completions"))
            .toList();
    return measure(
        "stream, tokens=" + tokens,
        new LoadGenerator(http, engines, SHOP, prompt),
        new LoadGenerator(http, List.of(requestUri(node, "counter-question")), SHOP, prompt));
  }

  private OverheadReport measureService(EmbeddedFleet fleet, Node node) {
    URI service = URI.create("http://" + fleet.services().get(0).address() + "/v1/stock-check");
    return measure(
        "plain call",
        new LoadGenerator(http, List.of(service), SHOP, STOCK_CHECK_BODY),
        new LoadGenerator(http, List.of(requestUri(node, "stock-check")), SHOP, STOCK_CHECK_BODY));
  }

  private OverheadReport measure(String call, LoadGenerator direct, LoadGenerator node) {
    for (int second = 0; second < warmupSeconds + seconds; second++) {
      boolean recording = second >= warmupSeconds;
      direct.run(requestsPerSecond, requestsPerSecond, recording);
      node.run(requestsPerSecond, requestsPerSecond, recording);
    }
    return OverheadReport.of(call, requestsPerSecond, direct, node);
  }

  private void awaitReady(Node node) throws Exception {
    long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
    while (status(node, "stock-check", STOCK_CHECK_BODY) != 200
        || status(node, "counter-question", COMPLETION_BODY.formatted(1)) != 200) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new IOException("the node was not ready within " + READY_TIMEOUT);
      }
      Thread.sleep(100);
    }
  }

  private int status(Node node, String kind, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(requestUri(node, kind))
            .header(ApiHeaders.SHOP, SHOP)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
  }

  private static URI requestUri(Node node, String kind) {
    return URI.create("http://" + node.callerAddress() + "/v1/requests/" + kind);
  }
}

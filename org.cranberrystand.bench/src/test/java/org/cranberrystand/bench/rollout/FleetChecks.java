package org.cranberrystand.bench.rollout;

import static org.testng.Assert.fail;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.bundle.Bundle;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.AddressList;
import org.cranberrystand.wire.http.ApiHeaders;

/** HTTP calls and conditions shared by the tests of this package. */
final class FleetChecks {
  private static final HttpClient HTTP = HttpClient.newHttpClient();

  private FleetChecks() {}

  static void await(String description, Duration timeout, Callable<Boolean> condition)
      throws Exception {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (!condition.call()) {
      if (System.nanoTime() > deadlineNanos) {
        fail("condition not met within " + timeout + ": " + description);
      }
      Thread.sleep(10);
    }
  }

  static void startNodes(EmbeddedFleet fleet, int nodes) throws Exception {
    fleet.publish(RolloutFleet.bundleText(1));
    for (int i = 0; i < nodes; i++) {
      fleet.addNode();
    }
    await(
        "all nodes serve and know each other",
        Duration.ofSeconds(30),
        () ->
            fleet.nodes().stream()
                .allMatch(
                    n ->
                        n.state().readiness().mayDispatch()
                            && RolloutFleet.aliveMembers(n) == nodes - 1));
  }

  static long bundleVersion(Node node) {
    return node.state().bundles().current().map(Bundle::version).orElse(0L);
  }

  static boolean allHaveVersion(EmbeddedFleet fleet, long version) {
    return fleet.nodes().stream().allMatch(n -> bundleVersion(n) == version);
  }

  static HttpResponse<String> post(Node node, String kind, String body) throws Exception {
    return HTTP.send(request(node, kind, body), HttpResponse.BodyHandlers.ofString());
  }

  static java.util.concurrent.CompletableFuture<HttpResponse<String>> postAsync(
      Node node, String kind, String body) {
    return HTTP.sendAsync(request(node, kind, body), HttpResponse.BodyHandlers.ofString());
  }

  static AddressList fetchAddresses(Node node) throws Exception {
    URI uri = URI.create("http://" + node.callerAddress() + "/v1/addresses");
    HttpResponse<byte[]> response =
        HTTP.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray());
    return Json.read(response.body(), AddressList.class);
  }

  static HttpResponse<String> send(HttpRequest request) throws Exception {
    return HTTP.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static HttpRequest request(Node node, String kind, String body) {
    return HttpRequest.newBuilder(
            URI.create("http://" + node.callerAddress() + "/v1/requests/" + kind))
        .header(ApiHeaders.SHOP, "lajeado-counter")
        .header("Content-Type", "application/json")
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }
}

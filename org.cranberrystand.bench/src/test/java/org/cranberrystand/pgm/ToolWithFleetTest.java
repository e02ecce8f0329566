package org.cranberrystand.pgm;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.io.Resources;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.bench.demo.Demo;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.fake.EngineSpeed;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.ApiHeaders;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Guards against a tool whose requests or documents are incompatible with those of the nodes. */
public final class ToolWithFleetTest {
  private EmbeddedFleet fleet;
  private Path directory;
  private String bundle;
  private String out;
  private String err;

  @BeforeClass
  public void start() throws Exception {
    directory = Files.createTempDirectory(Path.of("target"), "tool-with-fleet");
    Files.writeString(directory.resolve("token"), "embedded-operator-token\n");
    bundle =
        Resources.toString(
            Resources.getResource(Demo.class, "bundle.toml"), StandardCharsets.UTF_8);
    fleet = new EmbeddedFleet();
    fleet.addEngine("assistant", EngineSpeed.FAST);
    fleet.addService("orders");
    fleet.addNode();
    fleet.addNode();
    publish(1);
  }

  @AfterClass(alwaysRun = true)
  public void stop() throws Exception {
    fleet.close();
  }

  @Test
  public void rolloutIsSeenOnAllNodesAndInTheAuditTrail() throws Exception {
    assertEquals(runOnAllNodes("rollout", "wait", "--version-number", "1"), 0, err);
    publish(2);
    assertEquals(runOnAllNodes("rollout", "wait", "--version-number", "2"), 0, err);
    assertEquals(runOnAllNodes("rollout", "status"), 0, err);
    assertEquals(runOnAllNodes("rollout", "wait", "--version-number", "1", "--timeout", "5"), 1);
    assertEquals(runOnAllNodes("rollout", "wait", "--version-number", "3", "--timeout", "1"), 3);

    assertEquals(runOnAllNodes("audit", "--json", "--event", "BUNDLE_IN_FORCE"), 0, err);
    List<String> lines = out.lines().filter(line -> line.contains("version=2 ")).toList();
    assertEquals(lines.size(), 2, out);
    assertEquals(Json.MAPPER.readTree(lines.get(0)).path("entry").path("who").asText(), "system");
  }

  /** Guards against an older bundle that stays unnoticed in the configuration service. */
  @Test(dependsOnMethods = "rolloutIsSeenOnAllNodesAndInTheAuditTrail")
  public void statusWarnsWhenTheServicePublishesAnotherBundle() throws Exception {
    publish(1);
    assertEquals(runOnAllNodes("rollout", "status"), 1);
    assertTrue(err.contains("WARNING: THE CONFIGURATION SERVICE PUBLISHES ANOTHER BUNDLE"), err);
    fleet.platform().setDown(true);
    try {
      assertEquals(runOnAllNodes("rollout", "status"), 1);
      assertTrue(err.contains("UNAVAILABLE"), err);
    } finally {
      fleet.platform().setDown(false);
      publish(3);
    }
    assertEquals(runOnAllNodes("rollout", "wait", "--version-number", "3"), 0, err);
  }

  @Test(dependsOnMethods = "rolloutIsSeenOnAllNodesAndInTheAuditTrail")
  public void untrustedBundleIsRefusedWithANextStep() throws Exception {
    String toml = directory.resolve("b.toml").toString();
    Files.writeString(Path.of(toml), "version = 90");
    String key = directory.resolve("k").toString();
    String signed = directory.resolve("s").toString();
    assertEquals(run("key", "generate", "--id", "embedded", "--out", key), 0);
    assertEquals(run("bundle", "sign", toml, "--key", key, "--out", signed), 0);

    assertEquals(runOnAllNodes("rollout", "push", signed, "--why", "test"), 1);
    assertTrue(out.contains("refused") && out.contains("not signed by a trusted key"), out);
    assertTrue(err.contains("next: sign with a key"), err);
  }

  @Test(dependsOnMethods = "rolloutIsSeenOnAllNodesAndInTheAuditTrail")
  public void explainNamesUpstreamAndStepsOfARequest() throws Exception {
    awaitUpstream();
    HttpResponse<String> answer = sendStockCheck(fleet.nodes().get(0));
    assertEquals(answer.statusCode(), 200, answer.body());
    String id = answer.headers().firstValue(ApiHeaders.REQUEST_ID).orElseThrow();

    assertEquals(runOnAllNodes("explain", "--json", id), 0, err);

    JsonNode report = Json.MAPPER.readTree(out);
    assertEquals(report.path("outcome").asText(), "answered");
    assertEquals(report.path("steps").get(1).path("action").asText(), "dispatched");
    assertEquals(report.path("steps").get(1).path("detail").asText(), "orders-0");
    assertEquals(runOnAllNodes("explain", id.replace('.', '-')), 1);
  }

  @Test(dependsOnMethods = "explainNamesUpstreamAndStepsOfARequest")
  public void loadIsAnsweredAndReported() throws IOException {
    String report = directory.resolve("load.json").toString();
    List<String> command =
        new ArrayList<>(List.of("load", "--kind", "counter-question", "--shop", "lajeado-counter"));
    command.addAll(List.of("--tier", "urgent", "--rate", "20", "--duration", "1"));
    command.addAll(List.of("--max-tokens", "4", "--report", report));
    fleet.nodes().forEach(n -> command.addAll(List.of("--address", n.callerAddress().toString())));

    assertEquals(run(command.toArray(String[]::new)), 0, out + err);

    JsonNode tier = Json.MAPPER.readTree(Files.readString(Path.of(report))).at("/tiers/urgent");
    assertTrue(tier.path("arrived").asLong() > 5, tier.toString());
    assertEquals(tier.at("/outcomes/answered").asLong(), tier.path("arrived").asLong());
    assertEquals(tier.at("/firstToken/count").asLong(), tier.path("arrived").asLong());
    assertEquals(tier.at("/tokenGap/count").asLong(), 3 * tier.path("arrived").asLong());
  }

  @Test(dependsOnMethods = "rolloutIsSeenOnAllNodesAndInTheAuditTrail")
  public void listsShowEveryNodeAndUpstream() throws Exception {
    awaitUpstream();
    assertEquals(runOnAllNodes("nodes"), 0, err);
    assertTrue(out.contains("node-0") && out.contains("node-1"), out);
    assertEquals(runOnAllNodes("upstreams"), 0, err);
    assertTrue(out.contains("assistant-0") && out.contains("orders-0"), out);
    assertEquals(runOnAllNodes("queues"), 0, err);
    assertEquals(runOnAllNodes("teams", "--json"), 0, err);
    assertEquals(runOnAllNodes("top", "--count", "1"), 0, err);
    assertEquals(runOnAllNodes("drain", "--why", "test", "--dry-run"), 0, err);
    assertTrue(
        fleet.nodes().stream()
            .allMatch(n -> runOnAllNodes("nodes") == 0 && !out.contains("leaving")));
  }

  private void publish(int version) {
    fleet.publish(bundle.replace("version = 1", "version = " + version));
  }

  private void awaitUpstream() throws Exception {
    for (int i = 0; i < 100 && sendStockCheck(fleet.nodes().get(0)).statusCode() != 200; i++) {
      Thread.sleep(100);
    }
  }

  private static HttpResponse<String> sendStockCheck(Node node) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://" + node.callerAddress() + "/v1/requests/stock-check"))
            .header(ApiHeaders.SHOP, "lajeado-counter")
            .POST(HttpRequest.BodyPublishers.ofString("{}"))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }

  private int runOnAllNodes(String... command) {
    List<String> arguments = new ArrayList<>(List.of(command));
    arguments.addAll(List.of("--token-file", directory.resolve("token").toString()));
    fleet
        .nodes()
        .forEach(n -> arguments.addAll(List.of("--operator", n.operatorAddress().toString())));
    return run(arguments.toArray(String[]::new));
  }

  private int run(String... arguments) {
    StringWriter outText = new StringWriter();
    StringWriter errText = new StringWriter();
    int code =
        Main.commandLine()
            .setOut(new PrintWriter(outText, true))
            .setErr(new PrintWriter(errText, true))
            .execute(arguments);
    out = outText.toString();
    err = errText.toString();
    return code;
  }
}

package org.cranberrystand.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.security.KeyPair;
import java.util.Map;
import org.cranberrystand.util.MonotonicClock;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.bundle.BundleSignatures;
import org.cranberrystand.wire.bundle.BundleSplitter;
import org.cranberrystand.wire.bundle.PushedBundle;
import org.cranberrystand.wire.bundle.SignedBundle;
import org.cranberrystand.wire.settings.NodeSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public final class OperatorListenerTest {
  private static final HostAndPort ANY_PORT = HostAndPort.fromParts("127.0.0.1", 0);
  // Nothing listens on port 1, so the configuration service and the VM list are unavailable.
  private static final HostAndPort UNREACHABLE = HostAndPort.fromParts("127.0.0.1", 1);
  private static final String TOKEN = "token-of-the-operators";

  private final KeyPair keys = BundleSignatures.generateKeyPair();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private Node node;

  @BeforeClass
  public void start() throws Exception {
    NodeSettings settings =
        new NodeSettings(
            "node-a",
            "domain-a",
            ANY_PORT,
            ANY_PORT,
            ANY_PORT,
            TOKEN,
            ImmutableList.of("fleet-key-of-the-test"),
            ImmutableMap.of("ops", BundleSignatures.encodeKey(keys.getPublic())),
            UNREACHABLE,
            UNREACHABLE,
            ImmutableList.of(),
            NodeSettings.Limits.defaults());
    node = Node.start(settings, MonotonicClock.system());
  }

  @AfterClass(alwaysRun = true)
  public void stop() throws Exception {
    node.close();
  }

  /** Guards against a path that is served without the operator token. */
  @Test
  public void everyPathNeedsTheToken() throws Exception {
    for (String path : ImmutableList.of("metrics", "operator/v1/nodes", "operator/v1/none")) {
      assertProblem(get(path, null), 401, "urn:cranberrystand:problem:unauthorized");
      assertProblem(get(path, TOKEN + "x"), 401, "urn:cranberrystand:problem:unauthorized");
      assertProblem(get(path, TOKEN.substring(1)), 401, "urn:cranberrystand:problem:unauthorized");
    }
    assertProblem(
        post("operator/v1/drain", "{}", null), 401, "urn:cranberrystand:problem:unauthorized");
    assertEquals(
        parseJson(get("operator/v1/nodes", TOKEN)).path("state").asText().isEmpty(), false);
  }

  @Test
  public void errorsAreProblemDocuments() throws Exception {
    assertProblem(get("operator/v1/none", TOKEN), 404, "urn:cranberrystand:problem:not-found");
    assertProblem(get("operator/v1/drain", TOKEN), 405, "about:blank");
    assertProblem(
        get("operator/v1/audit?after=x", TOKEN), 400, "urn:cranberrystand:problem:invalid-request");
    assertProblem(
        get("operator/v1/explain/abc", TOKEN), 400, "urn:cranberrystand:problem:invalid-request");
    assertProblem(
        post("operator/v1/bundle", "[1]", TOKEN),
        400,
        "urn:cranberrystand:problem:invalid-request");
  }

  /** Guards against a multi-part bundle that cannot be pushed while the config service is down. */
  @Test(dependsOnMethods = "pushedBundleIsInForceAndAuditedThoughTheServiceIsDown")
  public void bundleInPartsIsPushedWithItsParts() throws Exception {
    String text =
        "version = 11\n\n[[teams]]\nname = \"t\"\n\n[[shops]]\nname = \"s\"\nteam = \"t\"\n";
    BundleSplitter.Split split = BundleSplitter.split(text, 4);
    SignedBundle signed = BundleSignatures.sign(split.manifest(), "ops", keys.getPrivate());
    String withoutParts = Json.toText(PushedBundle.of(signed, Map.of()));
    assertEquals(
        parseJson(post("operator/v1/bundle", withoutParts, TOKEN)).path("result").asText(),
        "incomplete");
    String withParts = Json.toText(PushedBundle.of(signed, split.parts()));
    assertEquals(
        parseJson(post("operator/v1/bundle", withParts, TOKEN)).path("result").asText(),
        "accepted");
    assertEquals(parseJson(get("operator/v1/rollout", TOKEN)).path("version").asLong(), 11);
  }

  /** Guards against a push that is lost, not audited, or put in force by a dry run. */
  @Test
  public void pushedBundleIsInForceAndAuditedThoughTheServiceIsDown() throws Exception {
    String signed = Json.toText(BundleSignatures.sign("version = 7", "ops", keys.getPrivate()));
    String forged =
        Json.toText(
            BundleSignatures.sign(
                "version = 9", "ops", BundleSignatures.generateKeyPair().getPrivate()));

    JsonNode dry = parseJson(post("operator/v1/bundle?dryRun=true", signed, TOKEN));
    assertEquals(dry.path("result").asText(), "accepted");
    assertEquals(parseJson(get("operator/v1/rollout", TOKEN)).path("version").asLong(), 0);
    assertEquals(
        parseJson(post("operator/v1/bundle", signed, TOKEN)).path("result").asText(), "accepted");
    assertEquals(
        parseJson(post("operator/v1/bundle", forged, TOKEN)).path("result").asText(), "refused");

    JsonNode rollout = parseJson(get("operator/v1/rollout?published=true", TOKEN));
    assertEquals(rollout.path("version").asLong(), 7);
    assertEquals(rollout.path("published").path("state").asText(), "UNAVAILABLE");
    JsonNode entries = parseJson(get("operator/v1/audit", TOKEN)).path("entries");
    JsonNode cause = entries.get(entries.size() - 2);
    assertEquals(cause.path("event").asText(), "BUNDLE_PUSHED");
    assertEquals(cause.path("who").asText(), "maria");
    assertEquals(cause.path("why").asText(), "new tier & more");
    JsonNode effect = entries.get(entries.size() - 1);
    assertEquals(
        effect.path("event").asText(), "BUNDLE_IN_FORCE", "the effect must follow its cause");
    assertEquals(effect.path("sequence").asLong(), entries.size());
  }

  @Test
  public void metricsCoverQueuesTokensLedgerAndHeap() throws Exception {
    String metrics = get("metrics", TOKEN).body();

    for (String name :
        ImmutableList.of(
            "cranberrystand_queued_requests{tier=\"urgent\"}",
            "cranberrystand_running_requests{tier=\"deferrable\"}",
            "cranberrystand_first_token_seconds_bucket{tier=\"standard\",le=\"1.7\"}",
            "cranberrystand_token_gap_seconds_bucket{tier=\"urgent\",le=\"0.074\"}",
            "cranberrystand_ledger_entries",
            "jvm_memory_used_bytes{area=\"heap\"")) {
      assertTrue(metrics.contains(name), name + " is missing in:\n" + metrics);
    }
  }

  private HttpResponse<String> get(String path, String token) throws Exception {
    return send(HttpRequest.newBuilder().GET(), path, token);
  }

  private HttpResponse<String> post(String path, String body, String token) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder()
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .header("Cranberrystand-Operator", "maria")
            .header("Cranberrystand-Reason", "new+tier+%26+more");
    return send(request, path, token);
  }

  private HttpResponse<String> send(HttpRequest.Builder request, String path, String token)
      throws IOException, InterruptedException {
    request.uri(URI.create("http://" + node.operatorAddress() + "/" + path));
    if (token != null) {
      request.header("Authorization", "Bearer " + token);
    }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private static JsonNode parseJson(HttpResponse<String> response) throws IOException {
    assertEquals(response.statusCode(), 200, response.body());
    return Json.MAPPER.readTree(response.body());
  }

  private static void assertProblem(HttpResponse<String> response, int status, String type)
      throws IOException {
    assertEquals(response.statusCode(), status, response.body());
    assertEquals(Json.MAPPER.readTree(response.body()).path("type").asText(), type);
    assertEquals(
        response.headers().firstValue("Content-Type").orElse(""), "application/problem+json");
  }
}

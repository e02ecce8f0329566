package org.cranberrystand.bench.failure;

import com.google.common.io.Resources;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.cranberrystand.bench.demo.Demo;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.fake.EngineSpeed;
import org.cranberrystand.fake.FakeModelEngine;
import org.cranberrystand.fake.FakeOrderService;
import org.cranberrystand.membership.MemberRecord;
import org.cranberrystand.membership.MemberState;
import org.cranberrystand.membership.MembershipView;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.util.MonotonicClock;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.AddressList;

/** Small embedded fleet with an HTTP caller, for failure tests. */
final class TestFleet implements AutoCloseable {
  static final String SHOP = "lajeado-counter";
  static final EngineSpeed SPEED = new EngineSpeed(1e6, Duration.ofMillis(1));
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  final EmbeddedFleet embedded = new EmbeddedFleet();
  final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  TestFleet(int nodes, int engines, int services) throws Exception {
    String bundle =
        Resources.toString(
            Resources.getResource(Demo.class, "bundle.toml"), StandardCharsets.UTF_8);
    embedded.publish(
        bundle.replace(
            "repeatable = true\ndeadline_ms = 4000",
            "repeatable = true\ndeadline_ms = 20000\ncancel_on_disconnect = true"));
    for (int i = 0; i < engines; i++) {
      embedded.addEngine("assistant", SPEED);
    }
    for (int i = 0; i < services; i++) {
      embedded.addService("orders");
    }
    for (int i = 0; i < nodes; i++) {
      addNode(MonotonicClock.system(), new Scheduler());
    }
    connectAllNodes();
  }

  Node addNode(MonotonicClock clock, DispatchPolicy policy) throws Exception {
    Node node = embedded.addNode(clock, policy);
    await(() -> request(node, "consultation", "{}", null).status() == 400);
    await(() -> embedded.engines().isEmpty() || isServed(node, "consultation"));
    await(() -> embedded.services().isEmpty() || isServed(node, "stock-check"));
    return node;
  }

  private boolean isServed(Node node, String kind) {
    return request(node, kind, completionBody("ready", 1), null).status() == 200;
  }

  void connectAllNodes() {
    embedded.nodes().forEach(node -> setMembers(node, embedded.nodes()));
  }

  void setMembers(Node node, List<Node> others) {
    List<MemberRecord> records = new ArrayList<>();
    for (Node other : others) {
      if (other != node) {
        records.add(
            new MemberRecord(
                other.incarnation().node(),
                other.incarnation().idText(),
                other.callerAddress().toString(),
                other.peerAddress().toString(),
                "domain-a",
                MemberState.ALIVE,
                1,
                1,
                0));
      }
    }
    node.membership().set(MembershipView.of(records));
  }

  Node node(int index) {
    return embedded.nodes().get(index);
  }

  FakeModelEngine engine(int index) {
    return embedded.engines().get(index);
  }

  FakeOrderService service(int index) {
    return embedded.services().get(index);
  }

  List<String> fetchIdentifiers(Node node) throws IOException, InterruptedException {
    HttpResponse<byte[]> response =
        http.send(
            HttpRequest.newBuilder(uri(node, "v1/addresses")).build(),
            HttpResponse.BodyHandlers.ofByteArray());
    return Json.read(response.body(), AddressList.class).identifiers();
  }

  static String completionBody(String text, int tokens) {
    return "{\"prompt\":\"%s\",\"max_tokens\":%d}".formatted(text, tokens);
  }

  Answer request(Node node, String kind, String body, String id, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri(node, "v1/requests/" + kind))
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (id != null) {
      request.header("Idempotency-Key", id);
    }
    return send(request, SHOP, headers);
  }

  Answer resume(Node node, String reference, long offset, String shop) {
    return send(
        HttpRequest.newBuilder(uri(node, "v1/streams/" + reference + "?offset=" + offset)), shop);
  }

  int cancel(Node node, String id) {
    return send(HttpRequest.newBuilder(uri(node, "v1/requests/" + id)).DELETE(), SHOP).status();
  }

  private Answer send(HttpRequest.Builder request, String shop, String... headers) {
    if (headers.length > 0) {
      request.headers(headers);
    }
    request.header("Cranberrystand-Shop", shop).timeout(TIMEOUT);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    HttpResponse<InputStream> response;
    try {
      response = http.send(request.build(), HttpResponse.BodyHandlers.ofInputStream());
    } catch (IOException e) {
      return new Answer(0, null, "", false);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
    boolean endedCleanly = true;
    try (InputStream in = response.body()) {
      in.transferTo(body);
    } catch (IOException e) {
      endedCleanly = false;
    }
    return new Answer(
        response.statusCode(),
        response.headers(),
        body.toString(StandardCharsets.UTF_8),
        endedCleanly);
  }

  private static URI uri(Node node, String path) {
    return URI.create("http://" + node.callerAddress() + "/" + path);
  }

  /** Returns how many times the upstreams ran a request. */
  long executionCount(String id) {
    return embedded.engines().stream()
            .flatMap(e -> e.executedRequestIds().stream())
            .filter(id::equals)
            .count()
        + embedded.services().stream()
            .flatMap(s -> s.executedOperations().stream())
            .filter(entry -> id.equals(entry.requestId()))
            .count();
  }

  static void await(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadlineNanos > 0) {
        throw new AssertionError("condition not met within " + TIMEOUT);
      }
      java.util.concurrent.locks.LockSupport.parkNanos(10_000_000);
    }
  }

  @Override
  public void close() throws Exception {
    embedded.close();
  }
}

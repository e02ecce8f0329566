package org.cranberrystand.bench.demo;

import com.google.common.io.Resources;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.fake.EngineSpeed;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.AddressList;
import org.cranberrystand.wire.http.ApiHeaders;

/** Starts a small fleet, sends one request of each kind and prints the answers. */
public final class Demo {
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
  private static final int MAX_PRINTED_CHARS = 60;
  private static final String SHOP = "lajeado-counter";

  private final HttpClient http = HttpClient.newHttpClient();
  private final PrintStream out;

  private Demo(PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the demonstration; exits with 0 if all answers are as expected.
   *
   * @param args ignored
   * @throws Exception if the fleet cannot be started
   */
  public static void main(String[] args) throws Exception {
    System.exit(run(System.out) ? 0 : 1);
  }

  /**
   * Starts the fleet, sends the requests and prints the answers.
   *
   * @param out receives the answers
   * @return true if every request was answered and the reservation ran once although it was sent
   *     twice
   * @throws Exception if the fleet cannot be started
   */
  public static boolean run(PrintStream out) throws Exception {
    return new Demo(out).runFleet();
  }

  private boolean runFleet() throws Exception {
    String bundle =
        Resources.toString(
            Resources.getResource(Demo.class, "bundle.toml"), StandardCharsets.UTF_8);
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      fleet.publish(bundle);
      fleet.addEngine("assistant", EngineSpeed.FAST);
      fleet.addEngine("assistant", EngineSpeed.FAST);
      fleet.addEngine("assistant", EngineSpeed.SLOW);
      fleet.addEngine("assistant", EngineSpeed.SLOW);
      fleet.addService("orders");
      for (int i = 0; i < 3; i++) {
        fleet.addNode();
      }
      return sendRequests(fleet);
    }
  }

  private boolean sendRequests(EmbeddedFleet fleet) throws Exception {
    AddressList addressList = awaitReady(fleet);
    out.printf("addresses: %s%n", addressList.addresses());
    String prompt = "{\"prompt\":\"Which cane suits a height of 1.62 m?\",\"max_tokens\":%d}";
    boolean allAnswered =
        send(addressList, 0, "counter-question", prompt.formatted(8), null) == 200;
    allAnswered &= send(addressList, 1, "consultation", prompt.formatted(40), null) == 200;
    String id = addressList.identifiers().get(0);
    String reservation = "{\"lot\":\"hide-17\"}";
    allAnswered &= sendToIssuer(fleet, "hide-reservation", reservation, id) == 200;
    allAnswered &= sendToIssuer(fleet, "hide-reservation", reservation, id) == 200;
    allAnswered &= send(addressList, 2, "stock-check", "{\"item\":\"rebana\"}", null) == 200;
    long reservations =
        fleet.services().stream()
            .flatMap(s -> s.executedOperations().stream())
            .filter(e -> e.operation().equals("hide-reservation"))
            .count();
    out.printf("reservations run by the orders service: %d%n", reservations);
    return allAnswered && reservations == 1;
  }

  private AddressList awaitReady(EmbeddedFleet fleet) throws Exception {
    long deadlineNanos = System.nanoTime() + READY_TIMEOUT.toNanos();
    while (true) {
      boolean ready = true;
      AddressList first = null;
      for (Node node : fleet.nodes()) {
        AddressList addressList = fetchAddresses(node);
        first = first == null ? addressList : first;
        String body = "{\"item\":\"ready\"}";
        ready &= addressList.addresses().size() == fleet.nodes().size();
        ready &=
            post(node.callerAddress().toString(), "stock-check", body, null).statusCode() == 200;
      }
      if (ready) {
        return first;
      }
      if (System.nanoTime() > deadlineNanos) {
        throw new IOException("the fleet was not ready within " + READY_TIMEOUT);
      }
      Thread.sleep(100);
    }
  }

  private AddressList fetchAddresses(Node node) throws IOException, InterruptedException {
    URI uri = URI.create("http://" + node.callerAddress() + "/v1/addresses");
    HttpResponse<byte[]> response =
        http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofByteArray());
    return Json.read(response.body(), AddressList.class);
  }

  private int sendToIssuer(EmbeddedFleet fleet, String kind, String body, String id)
      throws IOException, InterruptedException {
    return printAnswer(kind, post(fleet.nodes().get(0).callerAddress().toString(), kind, body, id));
  }

  private int send(AddressList addressList, int index, String kind, String body, String id)
      throws IOException, InterruptedException {
    String address = addressList.addresses().get(index % addressList.addresses().size()).address();
    return printAnswer(kind, post(address, kind, body, id));
  }

  private HttpResponse<String> post(String address, String kind, String body, String id)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/requests/" + kind))
            .header(ApiHeaders.SHOP, SHOP)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (id != null) {
      request.header(ApiHeaders.IDEMPOTENCY_KEY, id);
    }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private int printAnswer(String kind, HttpResponse<String> response) {
    String text = response.body().replace("\n", " ");
    out.printf(
        "%-18s status=%d node=%s upstream=%s outcome=%s%n    %s%n",
        kind,
        response.statusCode(),
        response.headers().firstValue(ApiHeaders.NODE).orElse("-"),
        response.headers().firstValue(ApiHeaders.UPSTREAM).orElse("-"),
        response.headers().firstValue(ApiHeaders.OUTCOME).orElse("-"),
        text.substring(Math.max(0, text.length() - MAX_PRINTED_CHARS)));
    return response.statusCode();
  }
}

package org.cranberrystand.pgm.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.outcome.Outcome;
import org.cranberrystand.outcome.UnknownCause;
import org.cranberrystand.wire.Json;
import org.cranberrystand.wire.http.AddressList;
import org.cranberrystand.wire.http.ApiHeaders;
import org.cranberrystand.wire.http.ProblemDocument;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class LoadTest {
  private static final RequestClass ONCE =
      RequestClass.builder("deposit", "shop").service().repeatable(false).build();
  private static final RequestClass REPEATABLE =
      RequestClass.builder("stock", "shop").service().build();

  /** Handles one attempt of the caller; attempts are numbered from 0. */
  private interface ServerBehavior {
    void answer(int attempt, HttpExchange exchange) throws IOException;
  }

  private final List<String> identifiers = new CopyOnWriteArrayList<>();
  private final AtomicInteger attempts = new AtomicInteger();
  private final AtomicInteger addressCalls = new AtomicInteger();
  private HttpServer server;
  private String unreachableAddress;
  private ServerBehavior serverBehavior;

  @BeforeMethod
  public void start() throws IOException {
    identifiers.clear();
    attempts.set(0);
    addressCalls.set(0);
    unreachableAddress = null;
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/v1/addresses", this::addresses);
    server.createContext(
        "/v1/requests/",
        exchange -> {
          String id = exchange.getRequestHeaders().getFirst(ApiHeaders.IDEMPOTENCY_KEY);
          identifiers.add(String.valueOf(id));
          exchange.getRequestBody().readAllBytes();
          serverBehavior.answer(attempts.getAndIncrement(), exchange);
          exchange.close();
        });
    server.start();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    server.stop(0);
  }

  /** Guards against a deposit that runs twice because its retry carries a new identifier. */
  @Test
  public void brokenConnectionIsFollowedByTheSameIdentifier() throws Exception {
    serverBehavior =
        (attempt, exchange) -> {
          if (attempt == 0) {
            exchange.close();
          } else {
            send(exchange, 200, "{}");
          }
        };

    assertOutcome(sendOne(ONCE), "answered");
    assertEquals(identifiers, List.of("node.id-1", "node.id-1"));
  }

  /** Guards against requests that keep an identifier after its issuer became unreachable. */
  @Test
  public void unreachableIssuerIsFollowedByAnIdentifierOfAnotherNode() throws Exception {
    unreachableAddress = "127.0.0.1:1";
    serverBehavior = (attempt, exchange) -> send(exchange, 200, "{}");

    assertOutcome(sendOne(ONCE), "answered");
    assertEquals(identifiers, List.of("node.id-2"));
  }

  @Test
  public void notRunIsFollowedByFreshIdentifier() throws Exception {
    Outcome notRun = new Outcome.NotRun(NotRunReason.OVERLOADED, 1);
    serverBehavior =
        (attempt, exchange) -> {
          if (attempt == 0) {
            send(exchange, 503, Json.toText(ProblemDocument.of(notRun, false, "node.id-1")));
          } else {
            send(exchange, 200, "{}");
          }
        };

    assertOutcome(sendOne(ONCE), "answered");
    assertEquals(identifiers, List.of("node.id-1", "node.id-2"));
  }

  /** Guards against a deposit of unknown outcome that runs twice under a new identifier. */
  @Test
  public void unknownOutcomeIsSentAgainForRepeatableKindsOnly() throws Exception {
    Outcome unknown = new Outcome.OutcomeUnknown(UnknownCause.CONNECTION_LOST);
    serverBehavior =
        (attempt, exchange) ->
            send(exchange, 504, Json.toText(ProblemDocument.of(unknown, true, "node.id-1")));

    assertOutcome(sendOne(ONCE), "outcome-unknown");
    assertEquals(identifiers, List.of("node.id-1"));
    assertOutcome(sendOne(REPEATABLE), "outcome-unknown");
    assertEquals(identifiers, List.of("node.id-1", "null", "null", "null"));
  }

  @Test
  public void streamWithoutFinalEventIsNotCountedAsAnswered() throws Exception {
    serverBehavior = (attempt, exchange) -> send(exchange, 200, "id: 0\ndata: {}\n\n");
    RequestClass model = RequestClass.builder("question", "shop").build();

    assertOutcome(sendOne(model), "incomplete-answer");
    serverBehavior = (n, exchange) -> send(exchange, 200, "id: 0\ndata: {}\n\ndata: [DONE]\n\n");
    assertOutcome(sendOne(model), "answered");
  }

  /** Guards against coordinated omission: a stalled server must not postpone later requests. */
  @Test
  public void stalledServerDelaysAnswersButNotArrivals() throws Exception {
    long start = System.nanoTime();
    long stallMillis = 600;
    serverBehavior =
        (attempt, exchange) -> {
          long left = stallMillis - Duration.ofNanos(System.nanoTime() - start).toMillis();
          if (left > 0) {
            sleep(left);
          }
          send(exchange, 200, "{}");
        };

    LoadReport report = new LoadRunner(options(REPEATABLE, 200, Duration.ofMillis(500))).run();

    LoadReport.Summary summary = report.tiers().get("standard");
    assertTrue(report.arrived() > 60, "arrivals during the stall: " + report.arrived());
    assertEquals(summary.outcomes().get("answered").longValue(), report.arrived());
    assertTrue(
        summary.firstToken().p50Millis() > stallMillis / 4.0,
        "the median latency includes the wait for the end of the stall: " + summary.firstToken());
    assertTrue(report.addressCalls() <= 2, "the address list is cached: " + report.addressCalls());
  }

  @Test
  public void planDependsOnTheSeedOnlyAndFloodsMultiplyTheRateOfOneKind() {
    RequestClass other = RequestClass.builder("deposit", "shop").weight(3).build();
    ImmutableList<RequestClass> mix = ImmutableList.of(REPEATABLE, other);
    Flood flood = Flood.parse("stock=10@20-40").orElseThrow();

    List<ArrivalPlan.Arrival> plan = all(new ArrivalPlan(mix, List.of(flood), 40, 60, 7));

    assertEquals(plan, all(new ArrivalPlan(mix, List.of(flood), 40, 60, 7)));
    assertRate(plan, REPEATABLE, 0, 20, 10);
    assertRate(plan, REPEATABLE, 20, 40, 100);
    assertRate(plan, REPEATABLE, 40, 60, 10);
    assertRate(plan, other, 0, 60, 30);
    assertTrue(Flood.parse("stock=10@40-20").isEmpty());
    assertTrue(Flood.parse("stock=x@1-2").isEmpty());
  }

  @Test
  public void exampleMixIsValidAndDefectsAreReportedTogether() throws IOException {
    String example = Files.readString(Path.of("..", "config", "mix.toml"));
    assertEquals(MixParser.parse("mix.toml", example).orElseThrow().size(), 4);
    String broken = example.replace("\"urgent\"", "\"now\"").replace("weight = 1.0", "weight = 0");
    assertEquals(MixParser.parse("mix.toml", broken).findingsOrEmpty().size(), 5);
  }

  private static void assertRate(
      List<ArrivalPlan.Arrival> plan,
      RequestClass expectedClass,
      double from,
      double to,
      double rate) {
    long count =
        plan.stream()
            .filter(
                a ->
                    a.requestClass() == expectedClass
                        && a.atSeconds() >= from
                        && a.atSeconds() < to)
            .count();
    double expected = rate * (to - from);
    // Five standard deviations of a Poisson count; the seed is fixed.
    assertTrue(Math.abs(count - expected) < 5 * Math.sqrt(expected), count + " for " + expected);
  }

  private static List<ArrivalPlan.Arrival> all(ArrivalPlan plan) {
    List<ArrivalPlan.Arrival> arrivals = new ArrayList<>();
    for (ArrivalPlan.Arrival a = plan.next(); a != null; a = plan.next()) {
      arrivals.add(a);
    }
    return arrivals;
  }

  private static void assertOutcome(LoadReport report, String outcome) {
    assertEquals(report.tiers().get("standard").outcomes().toString(), "{" + outcome + "=1}");
  }

  /** Sends exactly one request: the plan of this seed has one arrival. */
  private LoadReport sendOne(RequestClass requestClass) throws InterruptedException {
    LoadReport report = new LoadRunner(options(requestClass, 10, Duration.ofMillis(100))).run();
    assertEquals(report.arrived(), 1);
    return report;
  }

  private LoadOptions options(RequestClass requestClass, double rate, Duration duration) {
    return new LoadOptions(
        ImmutableList.of(HostAndPort.fromParts("127.0.0.1", server.getAddress().getPort())),
        ImmutableList.of(requestClass),
        ImmutableList.of(),
        rate,
        duration,
        Duration.ofSeconds(20),
        3,
        3,
        1_000);
  }

  private void addresses(HttpExchange exchange) throws IOException {
    String self = "127.0.0.1:" + server.getAddress().getPort();
    int number = addressCalls.incrementAndGet();
    boolean issuedByUnreachable = unreachableAddress != null && number == 1;
    AddressList list =
        new AddressList(
            issuedByUnreachable
                ? List.of(new AddressList.Address(unreachableAddress, "b", "gone"))
                : List.of(new AddressList.Address(self, "a", "node")),
            60,
            List.of((issuedByUnreachable ? "gone" : "node") + ".id-" + number));
    send(exchange, 200, Json.toText(list));
    exchange.close();
  }

  private static void send(HttpExchange exchange, int status, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  private static void sleep(long millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}

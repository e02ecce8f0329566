package org.cranberrystand.bench.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.net.HostAndPort;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.schedule.DispatchPolicy;
import org.cranberrystand.schedule.Scheduler;
import org.cranberrystand.schedule.SchedulerAction;
import org.cranberrystand.schedule.SchedulerEvent;
import org.cranberrystand.schedule.SchedulerFeature;
import org.cranberrystand.schedule.SchedulerOptions;
import org.cranberrystand.upstream.WindowSettings;
import org.cranberrystand.util.MonotonicClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests that run on, or are lost, after the caller cancelled or disconnected. */
public class CancelFailureTest {
  // Concurrent requests per engine in the fixed window.
  private static final int WINDOW_REQUESTS = 4;
  private static final int LONG_ANSWER_TOKENS = 3_000;

  private TestFleet fleet;

  @BeforeMethod
  public void setUp() throws Exception {
    fleet = new TestFleet(2, 1, 1);
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() throws Exception {
    fleet.close();
  }

  @Test
  public void runningStreamIsCancelledThroughAnyNode() throws Exception {
    for (Node node : fleet.embedded.nodes()) {
      String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
      CompletableFuture<Answer> answer = sendLongRequest(fleet.node(0), "consultation", id);
      TestFleet.await(() -> fleet.executionCount(id) == 1);
      TestFleet.await(() -> fleet.cancel(node, id) == 204);
      assertFalse(answer.join().endedCleanly());
      assertTrue(fleet.engine(0).cancelledRequestIds().contains(id));
      assertEquals(fleet.cancel(node, id), 404);
      assertEquals(fleet.executionCount(id), 1);
    }
  }

  @Test
  public void cancelledOrSilentRequestIsNotReportedAsCrash() throws Exception {
    List<SchedulerEvent> endEvents = new CopyOnWriteArrayList<>();
    Scheduler scheduler = new Scheduler();
    DispatchPolicy recording =
        event -> {
          if ((event instanceof SchedulerEvent.Finished finished && !finished.succeeded())
              || event instanceof SchedulerEvent.ConnectionBroken) {
            endEvents.add(event);
          }
          return scheduler.handle(event);
        };
    Node node = fleet.addNode(MonotonicClock.system(), recording);
    endEvents.clear();
    List<String> ids = fleet.fetchIdentifiers(node);
    CompletableFuture<Answer> answer =
        CompletableFuture.supplyAsync(
            () ->
                fleet.request(
                    node,
                    "consultation",
                    TestFleet.completionBody("a", LONG_ANSWER_TOKENS),
                    ids.get(0)));
    TestFleet.await(() -> fleet.cancel(node, ids.get(0)) == 204);
    answer.join();
    fleet.service(0).setDelay(Duration.ofSeconds(2));
    Answer silent =
        fleet.request(
            node, "hide-reservation", "{}", ids.get(1), "Cranberrystand-Deadline-Ms", "100");
    assertEquals(silent.outcome(), "outcome-unknown");
    assertEquals(endEvents.size(), 2);
    assertTrue(
        endEvents.stream().allMatch(SchedulerEvent.Finished.class::isInstance),
        endEvents.toString());
  }

  @Test
  public void schedulerThatCancelsOnEachReportOfALostCallerDoesNotLoop() throws Exception {
    AtomicInteger callerGoneEvents = new AtomicInteger();
    Scheduler scheduler = new Scheduler();
    DispatchPolicy cancelling =
        event -> {
          if (event instanceof SchedulerEvent.CallerGone gone) {
            callerGoneEvents.incrementAndGet();
            return List.of(new SchedulerAction.Cancel(gone.key()));
          }
          return scheduler.handle(event);
        };
    Node node = fleet.addNode(MonotonicClock.system(), cancelling);
    String id = fleet.fetchIdentifiers(node).get(0);
    CompletableFuture<Answer> answer =
        CompletableFuture.supplyAsync(
            () ->
                fleet.request(
                    node, "consultation", TestFleet.completionBody("a", LONG_ANSWER_TOKENS), id));
    TestFleet.await(() -> fleet.executionCount(id) == 1);
    AtomicInteger attempts = new AtomicInteger();
    TestFleet.await(
        () -> {
          attempts.incrementAndGet();
          return fleet.cancel(node, id) == 204;
        });
    assertFalse(answer.join().endedCleanly());
    assertEquals(callerGoneEvents.get(), attempts.get());
    assertEquals(fleet.engine(0).cancelledRequestIds(), List.of(id));
  }

  @Test
  public void queuedRequestIsCancelledAndNeverRuns() throws Exception {
    Node issuer = fleet.addNode(MonotonicClock.system(), new Scheduler(fixedWindow()));
    fleet.connectAllNodes();
    List<CompletableFuture<Answer>> running = new ArrayList<>();
    List<String> ids = fleet.fetchIdentifiers(issuer).subList(0, WINDOW_REQUESTS);
    for (String id : ids) {
      running.add(sendLongRequest(issuer, "consultation", id));
    }
    TestFleet.await(() -> ids.stream().mapToLong(fleet::executionCount).sum() == WINDOW_REQUESTS);
    String queued = fleet.fetchIdentifiers(issuer).get(0);
    CompletableFuture<Answer> answer = sendLongRequest(issuer, "consultation", queued);
    TestFleet.await(() -> fleet.cancel(fleet.node(1), queued) == 204);
    assertEquals(answer.join().outcome(), "not-run");
    ids.forEach(id -> assertEquals(fleet.cancel(issuer, id), 204));
    running.forEach(CompletableFuture::join);
    assertEquals(fleet.executionCount(queued), 0);
  }

  /** Returns options with a fixed window, so that the first request beyond it is queued. */
  private static SchedulerOptions fixedWindow() {
    SchedulerOptions.Builder options = SchedulerOptions.builder();
    for (SchedulerFeature feature : SchedulerFeature.values()) {
      options.without(feature);
    }
    return options
        .windowSettings(new WindowSettings(false, WINDOW_REQUESTS, 1e9, 62, 7, 600, 600_000))
        .build();
  }

  @Test
  public void callerThatLeavesCancelsWhereTheKindAllowsIt() throws Exception {
    String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
    try (Socket socket =
        openRequest("counter-question", id, TestFleet.completionBody("a", LONG_ANSWER_TOKENS))) {
      TestFleet.await(() -> fleet.executionCount(id) == 1);
      Thread.sleep(100);
      assertTrue(socket.isConnected());
    }
    TestFleet.await(() -> fleet.engine(0).cancelledRequestIds().contains(id));
  }

  @Test
  public void longWorkGoesOnAfterItsCallerLeftAndIsAnsweredOnResend() throws Exception {
    String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
    String body = TestFleet.completionBody("a", 200);
    try (Socket socket = openRequest("consultation", id, body)) {
      TestFleet.await(() -> fleet.executionCount(id) == 1);
      assertTrue(socket.isConnected());
    }
    Answer answer = fleet.request(fleet.node(1), "consultation", body, id);
    assertTrue(answer.isCompleteStream(200, id), answer.toString());
    assertEquals(fleet.executionCount(id), 1);
    assertTrue(fleet.engine(0).cancelledRequestIds().isEmpty());
  }

  @Test
  public void callerThatLeavesDoesNotCancelTheRequestOfAnother() throws Exception {
    fleet.engine(0).setSlowdown(10);
    String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
    String body = TestFleet.completionBody("a", 50);
    CompletableFuture<Answer> secondAnswer;
    try (Socket socket = openRequest("counter-question", id, body)) {
      TestFleet.await(() -> fleet.executionCount(id) == 1);
      secondAnswer =
          CompletableFuture.supplyAsync(
              () -> fleet.request(fleet.node(0), "counter-question", body, id));
      Thread.sleep(200);
      assertTrue(socket.isConnected());
    }
    assertTrue(secondAnswer.join().isCompleteStream(50, id), secondAnswer.join().toString());
  }

  @Test
  public void malformedRequestsAreRefusedBeforeAnythingRuns() throws Exception {
    String kind = "counter-question";
    for (String body :
        new String[] {
          "",
          "{",
          "[]",
          "null",
          "{\"max_tokens\":1}",
          "{\"prompt\":1}",
          "{\"prompt\":\"a\",\"max_tokens\":0}",
          "{\"prompt\":\"a\",\"max_tokens\":1.5}",
          "{\"prompt\":\"a\",\"stream\":\"no\"}"
        }) {
      String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
      assertEquals(fleet.request(fleet.node(0), kind, body, id).status(), 400, body);
      assertEquals(fleet.executionCount(id), 0);
    }
    for (String deadline : new String[] {"0", "-5", "soon", "1.5", "99999999999999999999"}) {
      String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
      Answer answer =
          fleet.request(
              fleet.node(0),
              kind,
              TestFleet.completionBody("a", 1),
              id,
              "Cranberrystand-Deadline-Ms",
              deadline);
      assertEquals(answer.status(), 400, deadline);
      assertEquals(fleet.executionCount(id), 0);
    }
  }

  @Test
  public void callerThatNeverSendsItsBodyIsDisconnected() throws Exception {
    HostAndPort address = fleet.node(0).callerAddress();
    try (Socket socket = new Socket(address.getHost(), address.getPort())) {
      socket.setSoTimeout((int) Duration.ofSeconds(15).toMillis());
      String head =
          "POST /v1/requests/stock-check HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
      assertEquals(socket.getInputStream().read(), -1);
    }
  }

  private CompletableFuture<Answer> sendLongRequest(Node node, String kind, String id) {
    return CompletableFuture.supplyAsync(
        () -> fleet.request(node, kind, TestFleet.completionBody("a", LONG_ANSWER_TOKENS), id),
        task -> new Thread(task).start());
  }

  private Socket openRequest(String kind, String id, String body) throws Exception {
    HostAndPort address = fleet.node(0).callerAddress();
    Socket socket = new Socket(address.getHost(), address.getPort());
    String head =
        "POST /v1/requests/%s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n"
                .formatted(kind, body.length())
            + "Cranberrystand-Shop: %s\r\nIdempotency-Key: %s\r\n\r\n%s"
                .formatted(TestFleet.SHOP, id, body);
    OutputStream out = socket.getOutputStream();
    out.write(head.getBytes(StandardCharsets.UTF_8));
    out.flush();
    return socket;
  }
}

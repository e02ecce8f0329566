package org.cranberrystand.bench.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.daemon.Node;
import org.cranberrystand.fake.EngineSpeed;
import org.cranberrystand.fake.FakeModelEngine;
import org.cranberrystand.membership.MemberState;
import org.testng.annotations.Test;

/** Tests draining nodes, draining upstreams and paused nodes over real sockets. */
public class LeavingTest {
  private static final String COMPLETION_BODY = "{\"prompt\":\"Which cane?\",\"max_tokens\":%d}";
  private static final Duration LEAVING_TIMEOUT = Duration.ofSeconds(3);

  /** Guards against a drain that interrupts a long answer or accepts new requests. */
  @Test
  public void drainCompletesTheOpenStreamAndTakesNoNewWork() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FakeModelEngine engine = fleet.addEngine("assistant", EngineSpeed.SLOW);
      FleetChecks.startNodes(fleet, 3);
      Node node = fleet.nodes().get(0);
      CompletableFuture<HttpResponse<String>> stream =
          FleetChecks.postAsync(node, "consultation", COMPLETION_BODY.formatted(100));
      FleetChecks.await("dispatch", LEAVING_TIMEOUT, () -> !engine.executedRequestIds().isEmpty());
      CompletableFuture<Void> drained = node.drain().toCompletableFuture();
      HttpResponse<String> refused =
          FleetChecks.post(node, "counter-question", COMPLETION_BODY.formatted(1));
      assertEquals(refused.statusCode(), 503);
      assertTrue(refused.body().contains("not-run"), refused.body());
      assertEquals(refused.headers().firstValue("Retry-After").orElse(""), "0");
      assertTrue(FleetChecks.fetchAddresses(node).identifiers().isEmpty());
      for (Node other : fleet.nodes()) {
        FleetChecks.await(
            "node-0 not offered",
            LEAVING_TIMEOUT,
            () ->
                FleetChecks.fetchAddresses(other).addresses().stream()
                    .noneMatch(a -> a.node().equals("node-0")));
      }
      assertFalse(drained.isDone());
      assertTrue(stream.get(20, TimeUnit.SECONDS).body().contains("[DONE]"));
      drained.get(5, TimeUnit.SECONDS);
      fleet.kill(node);
    }
  }

  /** Guards against new requests to a draining engine that the VM list still shows as live. */
  @Test
  public void leavingEngineIsMarkedOnAllNodesThoughTheListLags() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FakeModelEngine leaving = fleet.addEngine("assistant", EngineSpeed.FAST);
      fleet.addEngine("assistant", EngineSpeed.FAST);
      FleetChecks.startNodes(fleet, 3);
      Node node = fleet.nodes().get(0);
      FleetChecks.await(
          "both engines in the directory",
          LEAVING_TIMEOUT,
          () -> node.state().directory().get().inPool("assistant").size() == 2);
      leaving.setDraining(true);
      node.state().leaveSignals().recordRefusal(leaving.name());
      for (Node fleetNode : fleet.nodes()) {
        FleetChecks.await(
            "marked as leaving",
            LEAVING_TIMEOUT,
            () -> fleetNode.state().directory().get().find(leaving.name()).orElseThrow().leaving());
      }
      int requestsBefore = leaving.executedRequestIds().size();
      for (int i = 0; i < 6; i++) {
        Node fleetNode = fleet.nodes().get(i % 3);
        assertEquals(
            FleetChecks.post(fleetNode, "counter-question", COMPLETION_BODY.formatted(1))
                .statusCode(),
            200);
      }
      assertEquals(leaving.executedRequestIds().size(), requestsBefore);
      leaving.setDraining(false);
      FleetChecks.await(
          "not marked after the report expired",
          Duration.ofSeconds(15),
          () ->
              fleet.nodes().stream()
                  .noneMatch(
                      n ->
                          n.state()
                              .directory()
                              .get()
                              .find(leaving.name())
                              .orElseThrow()
                              .leaving()));
    }
  }

  /** Guards against a node that dispatches on a stale member view after a pause. */
  @Test
  public void pausedNodeDispatchesNothingBeforeItsViewIsFresh() throws Exception {
    try (EmbeddedFleet fleet = new EmbeddedFleet()) {
      FakeModelEngine engine = fleet.addEngine("assistant", EngineSpeed.FAST);
      FleetChecks.startNodes(fleet, 2);
      AtomicLong pauseNanos = new AtomicLong();
      Node node = fleet.addNode(() -> System.nanoTime() + pauseNanos.get());
      FleetChecks.await("served", Duration.ofSeconds(10), () -> status(node) == 200);
      fleet.platform().setDown(true);
      fleet.faults().partition(ImmutableList.of("node-2"));
      int requestsBefore = engine.executedRequestIds().size();
      pauseNanos.addAndGet(Duration.ofSeconds(30).toNanos());
      for (int i = 0; i < 5; i++) {
        HttpResponse<String> refused =
            FleetChecks.post(node, "counter-question", COMPLETION_BODY.formatted(1));
        assertEquals(refused.statusCode(), 503);
        assertTrue(refused.body().contains("not-run"), refused.body());
        Thread.sleep(200);
      }
      assertEquals(engine.executedRequestIds().size(), requestsBefore);
      fleet.faults().partition(ImmutableList.of());
      FleetChecks.await("served again", Duration.ofSeconds(10), () -> status(node) == 200);
      assertTrue(
          node.state().membership().get().all().stream()
              .noneMatch(r -> r.state() == MemberState.GONE));
    }
  }

  private static int status(Node node) throws Exception {
    return FleetChecks.post(node, "counter-question", COMPLETION_BODY.formatted(1)).statusCode();
  }
}

package org.cranberrystand.bench.order;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cranberrystand.bench.fleet.EmbeddedFleet;
import org.cranberrystand.fake.EngineSpeed;
import org.cranberrystand.fake.FakeModelSlot;
import org.cranberrystand.fake.FakeWeightStore;
import org.cranberrystand.wire.engine.ModelOrder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against engines that do not converge to the signed bundle, and against unnecessary orders.
 */
public class ModelRolloutTest {
  private static final Duration LOAD_TIME = Duration.ofMillis(300);
  private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(40);
  private static final int ENGINES = 3;

  private final List<FakeModelSlot> slots = new ArrayList<>();
  private EmbeddedFleet fleet;
  private FakeWeightStore weights;

  @BeforeMethod
  public void startFleet() throws Exception {
    slots.clear();
    weights = new FakeWeightStore(100);
    fleet = new EmbeddedFleet();
    for (int i = 0; i < ENGINES; i++) {
      FakeModelSlot slot =
          new FakeModelSlot(
              new ModelOrder("assistant-small", "1", List.of(), "mixed"),
              i % 2 == 0,
              LOAD_TIME,
              weights.address());
      slots.add(slot);
      fleet.addEngine("assistant", EngineSpeed.FAST).setModelSlot(slot);
    }
    fleet.publish(bundle(1, "1"));
    fleet.addNode();
    fleet.addNode();
  }

  @AfterMethod(alwaysRun = true)
  public void stopFleet() throws Exception {
    fleet.close();
    weights.close();
  }

  @Test(timeOut = 90_000)
  public void everyEngineServesTheNewVersionAndGetsOneOrder() throws Exception {
    fleet.publish(bundle(2, "2"));
    awaitVersion("2");
    for (FakeModelSlot slot : slots) {
      assertEquals(slot.receivedOrders().size(), 1, "orders to one engine");
    }
  }

  @Test(timeOut = 90_000)
  public void refusingWeightStoreDelaysTheRolloutButDoesNotEndIt() throws Exception {
    weights.setReadsPerSecond(0.5);
    fleet.publish(bundle(2, "2"));
    awaitVersion("2");
    assertTrue(weights.servedCount() >= ENGINES);
  }

  private void awaitVersion(String version) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + CONVERGENCE_TIMEOUT.toNanos();
    while (!slots.stream().allMatch(s -> serves(s, version))) {
      assertTrue(
          System.nanoTime() < deadlineNanos, "not converged: " + slots.get(0).receivedOrders());
      Thread.sleep(50);
    }
  }

  private static boolean serves(FakeModelSlot slot, String version) {
    return slot.status().version().equals(version) && !slot.status().loading();
  }

  private static String bundle(long version, String modelVersion) {
    return """
        version = %d

        [[pools]]
        name = "assistant"
        type = "model"
        model = "assistant-small"

        [[deployments]]
        pool = "assistant"
        model = "assistant-small"
        version = "%s"
        """
        .formatted(version, modelVersion);
  }
}

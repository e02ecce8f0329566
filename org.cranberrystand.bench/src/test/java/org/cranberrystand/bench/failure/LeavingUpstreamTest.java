package org.cranberrystand.bench.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.cranberrystand.fake.CallFault;
import org.cranberrystand.fake.FakeModelEngine;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against new requests to a draining upstream that the VM list still shows as live. */
public class LeavingUpstreamTest {
  private TestFleet fleet;

  @BeforeMethod
  public void setUp() throws Exception {
    fleet = new TestFleet(1, 2, 0);
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() throws Exception {
    fleet.close();
  }

  @Test
  public void drainingEngineGetsNoWorkAfterItsReportOrFirstRefusal() throws Exception {
    FakeModelEngine draining = fleet.engine(0);
    long requestsBefore = draining.executedRequestIds().size();
    draining.setDraining(true);
    // New requests must stop within 3 s of the drain signal.
    Thread.sleep(2_000);
    for (int i = 0; i < 20; i++) {
      assertEquals(sendRequest().status(), 200, "the draining engine received a request");
    }
    assertEquals(draining.executedRequestIds().size(), requestsBefore);
    draining.setDraining(false);
    TestFleet.await(
        () ->
            sendRequest().status() == 200 && draining.executedRequestIds().size() > requestsBefore);
  }

  @Test
  public void firstRefusalMarksTheEngineAtOnce() throws Exception {
    fleet.engine(0).injectCallFault(CallFault.REFUSE_LEAVING, 1_000);
    fleet.engine(1).injectCallFault(CallFault.REFUSE_LEAVING, 1_000);
    int refusedCount = 0;
    for (int i = 0; i < 10; i++) {
      Answer answer =
          fleet.request(
              fleet.node(0),
              "counter-question",
              TestFleet.completionBody("a", 1),
              null,
              "Cranberrystand-Deadline-Ms",
              "300");
      assertEquals(answer.outcome(), "not-run", answer.toString());
      refusedCount++;
      if (refusedCount == 2) {
        break;
      }
    }
    assertTrue(
        fleet.engine(0).executedRequestIds().size() + fleet.engine(1).executedRequestIds().size()
            <= 2);
  }

  private Answer sendRequest() {
    return fleet.request(fleet.node(0), "counter-question", TestFleet.completionBody("a", 1), null);
  }
}

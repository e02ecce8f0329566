package org.cranberrystand.bench.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.cranberrystand.fake.CallFault;
import org.cranberrystand.fake.FakeModelEngine;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against new work for an upstream that leaves while the VM list still shows it as live. */
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
    FakeModelEngine leaving = fleet.engine(0);
    long before = leaving.executedRequestIds().size();
    leaving.setDraining(true);
    // The target for new work is 3 s after the signal (G6).
    Thread.sleep(2_000);
    for (int i = 0; i < 20; i++) {
      assertEquals(ask().status(), 200, "a request went to the leaving engine");
    }
    assertEquals(leaving.executedRequestIds().size(), before);
    leaving.setDraining(false);
    TestFleet.await(() -> ask().status() == 200 && leaving.executedRequestIds().size() > before);
  }

  @Test
  public void firstRefusalMarksTheEngineAtOnce() throws Exception {
    fleet.engine(0).injectCallFault(CallFault.REFUSE_LEAVING, 1_000);
    fleet.engine(1).injectCallFault(CallFault.REFUSE_LEAVING, 1_000);
    int refused = 0;
    for (int i = 0; i < 10; i++) {
      Answer answer =
          fleet.request(
              fleet.node(0),
              "counter-question",
              TestFleet.prompt("a", 1),
              null,
              "Cranberrystand-Deadline-Ms",
              "300");
      assertEquals(answer.outcome(), "not-run", answer.toString());
      refused++;
      if (refused == 2) {
        break;
      }
    }
    assertTrue(
        fleet.engine(0).executedRequestIds().size() + fleet.engine(1).executedRequestIds().size()
            <= 2);
  }

  private Answer ask() {
    return fleet.request(fleet.node(0), "counter-question", TestFleet.prompt("a", 1), null);
  }
}

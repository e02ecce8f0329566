package org.cranberrystand.bench.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.cranberrystand.fake.CallFault;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against duplicate execution and a wrong {@code not-run} outcome when upstreams fail. */
public class DispatchFailureTest {
  private static final String NON_REPEATABLE_KIND = "hide-reservation";
  private static final String REPEATABLE_KIND = "stock-check";
  private static final int MANY_CALLS = 1_000;
  private static final String BODY = "{\"lot\":\"hide-17\"}";

  private TestFleet fleet;

  @BeforeMethod
  public void setUp() throws Exception {
    fleet = new TestFleet(1, 1, 1);
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() throws Exception {
    fleet.close();
  }

  @Test
  public void brokenCallOfAKindThatMayNotBeRepeatedIsNeverSentAgain() throws Exception {
    for (CallFault fault : CallFault.values()) {
      String id = newId();
      // The node retries a refused request, so only repeated refusals end as not run.
      fleet.service(0).injectFault(fault, fault.name().startsWith("REFUSE") ? MANY_CALLS : 1);
      Answer answer = fleet.request(fleet.node(0), NON_REPEATABLE_KIND, BODY, id);
      fleet.service(0).clearFaults();
      long expectedRuns =
          fault.name().startsWith("REFUSE") || fault == CallFault.DIE_BEFORE_RUN ? 0 : 1;
      assertEquals(fleet.executionCount(id), expectedRuns, fault.toString());
      String expected =
          switch (fault) {
            case NONE -> "answered";
            case REFUSE_FULL, REFUSE_LEAVING -> "not-run";
            default -> "outcome-unknown";
          };
      assertEquals(answer.outcome(), expected, fault.toString());
      boolean notRun = expected.equals("not-run");
      assertEquals(answer.header("Retry-After") != null, notRun, fault.toString());
      if (fault == CallFault.REFUSE_LEAVING) {
        awaitServiceReady();
      }
      Answer resent = fleet.request(fleet.node(0), NON_REPEATABLE_KIND, BODY, id);
      assertEquals(resent.outcome(), notRun ? "answered" : expected, fault.toString());
      assertTrue(fleet.executionCount(id) <= 1, "second run after " + fault);
    }
  }

  // A refusal with 503 marks the service as leaving until a load report says otherwise.
  private void awaitServiceReady() {
    TestFleet.await(
        () -> fleet.request(fleet.node(0), REPEATABLE_KIND, "{}", null).status() == 200);
  }

  @Test
  public void brokenIdempotentCallIsRepeatedAsDeclaredAndThenUnknown() throws Exception {
    String id = newId();
    fleet.service(0).injectFault(CallFault.DIE_AFTER_RUN, 2);
    assertEquals(fleet.request(fleet.node(0), REPEATABLE_KIND, BODY, id).status(), 200);
    assertEquals(fleet.executionCount(id), 3);
    String second = newId();
    fleet.service(0).injectFault(CallFault.DIE_IN_BODY, 3);
    Answer answer = fleet.request(fleet.node(0), REPEATABLE_KIND, BODY, second);
    assertEquals(answer.outcome(), "outcome-unknown");
    assertEquals(fleet.executionCount(second), 3, "max_retries is 2");
    assertEquals(answer.header("Retry-After"), "0");
  }

  @Test
  public void refusalAfterABrokenCallIsNotReportedAsNotRun() throws Exception {
    String id = newId();
    fleet.service(0).injectFault(CallFault.DIE_AFTER_RUN, 1);
    fleet.service(0).injectFault(CallFault.REFUSE_FULL, MANY_CALLS);
    Answer answer = fleet.request(fleet.node(0), REPEATABLE_KIND, BODY, id);
    assertEquals(fleet.executionCount(id), 1);
    assertEquals(answer.outcome(), "outcome-unknown");
  }

  @Test
  public void refusedCallIsSentAgainAndRunsOnce() throws Exception {
    String id = newId();
    fleet.service(0).injectFault(CallFault.REFUSE_FULL, 1);
    Answer answer = fleet.request(fleet.node(0), NON_REPEATABLE_KIND, BODY, id);
    assertEquals(answer.outcome(), "answered");
    assertEquals(fleet.executionCount(id), 1);
  }

  @Test
  public void deadUpstreamIsNotRun() throws Exception {
    fleet.service(0).crash();
    fleet.engine(0).crash();
    Thread.sleep(500);
    String id = newId();
    Answer answer = fleet.request(fleet.node(0), NON_REPEATABLE_KIND, BODY, id);
    assertEquals(answer.outcome(), "not-run", answer.body());
    assertNotNull(answer.header("Retry-After"));
    Answer modelAnswer =
        fleet.request(fleet.node(0), "counter-question", TestFleet.completionBody("a", 2), newId());
    assertEquals(modelAnswer.outcome(), "not-run", modelAnswer.body());
  }

  @Test
  public void contentThatCrashesTheEngineIsUnknown() throws Exception {
    fleet.engine(0).setCrashContent("poison");
    String id = newId();
    Answer answer =
        fleet.request(fleet.node(0), "counter-question", TestFleet.completionBody("poison", 2), id);
    assertEquals(answer.outcome(), "outcome-unknown");
    assertEquals(fleet.executionCount(id), 1);
  }

  @Test
  public void silentServiceIsUnknownOnceTheDeadlinePassed() throws Exception {
    fleet.service(0).setDelay(Duration.ofSeconds(3));
    String id = newId();
    Answer answer =
        fleet.request(
            fleet.node(0), NON_REPEATABLE_KIND, BODY, id, "Cranberrystand-Deadline-Ms", "600");
    assertEquals(answer.outcome(), "outcome-unknown");
    assertTrue(answer.body().contains("upstream-timeout"), answer.body());
    assertEquals(fleet.executionCount(id), 1);
  }

  private String newId() throws Exception {
    return fleet.fetchIdentifiers(fleet.node(0)).get(0);
  }
}

package org.cranberrystand.bench.failure;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import org.cranberrystand.fake.CallFault;
import org.cranberrystand.fake.StreamFault;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Guards against streamed answers with missing events, repeated events or events of other requests.
 */
public class StreamFailureTest {
  private static final int TOKENS = 3;
  private static final String KIND = "counter-question";

  private TestFleet fleet;

  @BeforeClass
  public void setUp() throws Exception {
    fleet = new TestFleet(2, 1, 0);
  }

  @AfterClass
  public void tearDown() throws Exception {
    fleet.close();
  }

  @Test
  public void streamCutAtEachByteIsResumedWithoutASecondRun() throws Exception {
    String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
    int length = send(0, id, TOKENS).body().length();
    for (int at = 0; at <= length; at += 3) {
      String next = fleet.fetchIdentifiers(fleet.node(0)).get(0);
      fleet.engine(0).injectStreamFault(new StreamFault(StreamFault.Type.CLOSE_AFTER_BYTES, at), 1);
      Answer answer = send(at % 2, next, TOKENS);
      assertTrue(answer.isCompleteStream(TOKENS, next), "cut at " + at + ": " + answer);
      assertEquals(fleet.executionCount(next), 1, "cut at " + at);
    }
  }

  @Test
  public void streamThatCannotBeResumedNeverEndsCleanly() throws Exception {
    for (int node = 0; node < 2; node++) {
      String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
      fleet
          .engine(0)
          .injectStreamFault(new StreamFault(StreamFault.Type.CLOSE_BEFORE_EVENT, 1), 12);
      Answer answer = send(node, id, TOKENS);
      assertEquals(answer.status(), 200);
      assertFalse(answer.endedCleanly(), "the connection ended as if the answer were complete");
      assertTrue(answer.body().contains("event: error\ndata: {"), answer.body());
      assertTrue(answer.body().contains("upstream-failed"), answer.body());
      assertFalse(answer.body().contains("[DONE]"), answer.body());
      assertEquals(fleet.executionCount(id), 1);
      // Consumes the faults that remain because the node limits its resume attempts.
      while (!send(0, null, TOKENS).endedCleanly()) {
        assertEquals(fleet.executionCount(id), 1);
      }
      assertEquals(fleet.request(fleet.node(1), KIND, body(TOKENS), id).status(), 502);
      assertEquals(fleet.executionCount(id), 1);
    }
  }

  @Test
  public void foreignLateAndMissingEventsNeverReachTheCaller() throws Exception {
    for (StreamFault.Type type :
        new StreamFault.Type[] {
          StreamFault.Type.OTHER_REQUEST,
          StreamFault.Type.REPEATED_EVENT,
          StreamFault.Type.MISSING_EVENT
        }) {
      for (int at = 0; at < TOKENS; at++) {
        if (type == StreamFault.Type.REPEATED_EVENT && at == 0) {
          continue;
        }
        long droppedBefore = fleet.embedded.nodes().get(0).streamCounters().dropped();
        String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
        fleet.engine(0).injectStreamFault(new StreamFault(type, at), 1);
        Answer answer = send(0, id, TOKENS);
        assertTrue(answer.isCompleteStream(TOKENS, id), type + " at " + at + ": " + answer);
        assertEquals(fleet.executionCount(id), 1);
        assertEquals(
            fleet.node(0).streamCounters().dropped(), droppedBefore + 1, type + " at " + at);
      }
    }
  }

  @Test
  public void deathBeforeTheHeadIsUnknownAndDeathAfterItIsResumed() throws Exception {
    for (CallFault fault : new CallFault[] {CallFault.DIE_BEFORE_RUN, CallFault.DIE_AFTER_RUN}) {
      String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
      fleet.engine(0).injectCallFault(fault, 1);
      Answer answer = send(0, id, TOKENS);
      assertEquals(answer.status(), 504, fault + " " + answer);
      assertEquals(answer.header("Retry-After"), "0", "the kind is repeatable");
      long runs = fleet.executionCount(id);
      assertEquals(send(1, id, TOKENS).status(), 504);
      assertEquals(fleet.executionCount(id), runs, "a resend ran again after " + fault);
    }
    for (CallFault fault : new CallFault[] {CallFault.DIE_AFTER_HEAD, CallFault.DIE_IN_BODY}) {
      String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
      fleet.engine(0).injectCallFault(fault, 1);
      assertTrue(send(0, id, TOKENS).isCompleteStream(TOKENS, id), fault.toString());
      assertEquals(fleet.executionCount(id), 1);
    }
  }

  @Test
  public void answerWithoutStreamIsOneDocument() throws Exception {
    String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
    String body = "{\"prompt\":\"x\",\"max_tokens\":2,\"stream\":false}";
    Answer answer = fleet.request(fleet.node(1), KIND, body, id);
    assertEquals(answer.body(), "{\"request\":\"" + id + "\",\"text\":\"t0 t1 \"}");
    assertEquals(answer.header("Content-Type"), "application/json");
  }

  @Test
  public void answerTooLongToRecordIsReadThroughItsReference() throws Exception {
    int tokens = 5_000;
    String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
    fleet.engine(0).setSlowdown(0);
    Answer first = send(0, id, tokens);
    fleet.engine(0).setSlowdown(1);
    assertTrue(first.isCompleteStream(tokens, id));
    Answer resent = send(0, id, tokens);
    assertEquals(resent.status(), 410);
    assertEquals(fleet.executionCount(id), 1);
    Answer rest = fleet.resume(fleet.node(1), resent.header("Cranberrystand-Resume"), 0, SHOP);
    assertTrue(rest.isCompleteStream(tokens, id));
    assertEquals(fleet.executionCount(id), 1);
  }

  @Test
  public void resumeReferenceIsBoundToItsShopAndContent() throws Exception {
    String id = fleet.fetchIdentifiers(fleet.node(0)).get(0);
    String reference = send(0, id, TOKENS).header("Cranberrystand-Resume");
    Answer rest = fleet.resume(fleet.node(1), reference, 2, SHOP);
    assertTrue(rest.endedCleanly() && rest.body().startsWith("id: 2\n"), rest.body());
    assertEquals(fleet.resume(fleet.node(1), reference, 0, "other-shop").status(), 422);
    for (int i = 0; i < reference.length(); i += 7) {
      char changed = reference.charAt(i) == 'A' ? 'B' : 'A';
      String altered = reference.substring(0, i) + changed + reference.substring(i + 1);
      assertNotEquals(altered, reference);
      assertEquals(fleet.resume(fleet.node(1), altered, 0, SHOP).status(), 400);
    }
    assertEquals(fleet.resume(fleet.node(1), reference, -1, SHOP).status(), 400);
    assertEquals(fleet.executionCount(id), 1);
  }

  private static final String SHOP = TestFleet.SHOP;

  private Answer send(int node, String id, int tokens) {
    return fleet.request(fleet.node(node), KIND, body(tokens), id);
  }

  private static String body(int tokens) {
    return TestFleet.completionBody("Which cane?", tokens);
  }
}

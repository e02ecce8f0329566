package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.stream.IntStream;
import org.cranberrystand.outcome.NotRunReason;
import org.cranberrystand.upstream.RegisteredUpstream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A part of a large pool refuses connections for two seconds, under 40 requests per second at one
 * node. Requests to the others use connections that are open, so no connection succeeds but those
 * of probes.
 */
public final class PartialOutageTest {
  private static final long MILLI = 1_000_000L;
  private static final int SLOTS = 8;
  private static final int OUTAGE_MILLIS = 2_000;
  private static final int REQUEST_INTERVAL_MILLIS = 25;
  private static final int TICK_MILLIS = 50;
  private static final int RUN_MILLIS = 200;
  private static final int MAX_TRIES = 5;

  /** So many failures in succession eject an upstream for longer than the outage. */
  private static final int FAILURES_TO_EJECT = 3;

  private record Unsent(CallSpec call, RegisteredUpstream upstream) {}

  /** Sends requests to the upstreams of one node, as its connections do. */
  private static final class Node implements DispatchOutput {
    private final CallDispatcher dispatcher = new CallDispatcher(this, 1);
    private final int downCount;
    private final Deque<Unsent> unsent = new ArrayDeque<>();
    private final Deque<CallSpec> runningCalls = new ArrayDeque<>();

    /** How often each request could not be sent, by its key. */
    private final List<Integer> failedTries = new ArrayList<>();

    private int failedSends;
    private int refusals;
    private int unreachableMillis;

    Node(int poolSize, int downCount) {
      this.downCount = downCount;
      List<RegisteredUpstream> upstreams =
          IntStream.range(0, poolSize).mapToObj(Node::upstream).toList();
      dispatcher.upstreamsChanged(upstreams, 0);
    }

    private static RegisteredUpstream upstream(int number) {
      return new RegisteredUpstream(
          String.valueOf(number), "llm", "10.0.0.1:80", "d" + number % 4, "v1", SLOTS, 1, 0, false);
    }

    private boolean isDown(RegisteredUpstream upstream) {
      return Integer.parseInt(upstream.id()) < downCount;
    }

    @Override
    public void send(CallSpec call, RegisteredUpstream upstream, PlacementChoice choice) {
      if (isDown(upstream)) {
        failedSends++;
        unsent.add(new Unsent(call, upstream));
      } else {
        runningCalls.add(call);
      }
    }

    @Override
    public void refuse(CallSpec call, NotRunReason reason, long retryAfterMillis) {
      refusals++;
    }

    void run() {
      for (int millis = 0; millis < OUTAGE_MILLIS; millis++) {
        if (millis % REQUEST_INTERVAL_MILLIS == 0) {
          submit(millis);
        }
        if (millis % TICK_MILLIS == 0) {
          dispatcher.tick(millis * MILLI);
          for (RegisteredUpstream probed : dispatcher.takeProbes(millis * MILLI)) {
            dispatcher.connectEnded(probed, !isDown(probed), millis * MILLI);
          }
        }
        failConnects(millis * MILLI);
        endCalls(millis);
        unreachableMillis += dispatcher.unreachablePools().size();
      }
    }

    private void submit(int millis) {
      CallSpec call =
          CallSpec.builder(failedTries.size(), "llm")
              .streaming(true)
              .size(500, 20)
              .times(millis * MILLI, (millis + 400) * MILLI, (millis + 15_000) * MILLI)
              .build();
      failedTries.add(0);
      if (dispatcher.isServedByOthersOnly("llm")) {
        refusals++;
      } else {
        dispatcher.submit(call, null, millis * MILLI);
      }
    }

    private void failConnects(long nowNanos) {
      while (!unsent.isEmpty()) {
        CallSpec call = unsent.peek().call();
        RegisteredUpstream upstream = unsent.remove().upstream();
        dispatcher.connectEnded(upstream, false, nowNanos);
        dispatcher.ended(call.key(), CallEnding.UNREACHABLE, nowNanos);
        int tries = failedTries.get((int) call.key()) + 1;
        failedTries.set((int) call.key(), tries);
        if (tries < MAX_TRIES) {
          dispatcher.submit(call, upstream.id(), nowNanos);
        } else {
          refusals++;
        }
      }
    }

    private void endCalls(int millis) {
      while (!runningCalls.isEmpty()
          && millis * MILLI - runningCalls.peek().arrivalNanos() >= RUN_MILLIS * MILLI) {
        dispatcher.ended(runningCalls.remove().key(), CallEnding.ANSWERED, millis * MILLI);
      }
    }
  }

  @DataProvider
  public Object[][] pools() {
    return new Object[][] {{16, 4}, {37, 9}, {90, 18}};
  }

  /** Guards against refusing requests for a pool of which most upstreams can be reached. */
  @Test(dataProvider = "pools")
  public void requestsAreSentToTheOtherUpstreams(int poolSize, int downCount) {
    Node node = new Node(poolSize, downCount);

    node.run();

    assertEquals(node.refusals, 0);
    assertEquals(node.unreachableMillis, 0);
  }

  /** Guards against trying upstreams that are down again and again. */
  @Test(dataProvider = "pools")
  public void eachUpstreamThatIsDownIsTriedAFewTimes(int poolSize, int downCount) {
    Node node = new Node(poolSize, downCount);

    node.run();

    assertTrue(
        node.failedSends <= downCount * FAILURES_TO_EJECT, "failed sends: " + node.failedSends);
  }
}

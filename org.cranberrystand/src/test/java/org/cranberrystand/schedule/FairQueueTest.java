package org.cranberrystand.schedule;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.cranberrystand.bundle.WorkKind;
import org.testng.annotations.Test;

/** Tests of {@link FairQueue}. */
public class FairQueueTest {
  private static final WorkKind KIND = WorkKind.builder("question").pool("engines").build();
  private long nextKey;

  private QueuedItem item(String team, int prompt) {
    WorkItem item = WorkItem.builder(nextKey++, KIND).shop("shop", team).tokens(prompt, 0).build();
    return new QueuedItem(item, 100, false, nextKey);
  }

  private static Map<String, Double> serve(FairQueue queue, double tokens) {
    Map<String, Double> served = new HashMap<>();
    double sum = 0;
    while (sum < tokens) {
      QueuedItem next = queue.peek(false);
      queue.removeDispatched(next);
      served.merge(next.item().team(), next.costTokens(), Double::sum);
      sum += next.costTokens();
    }
    return served;
  }

  /**
   * Guards against fairness by request count: a team with long requests would get more tokens than
   * its weight entitles it to.
   */
  @Test
  public void backloggedTeamsAreServedByWeightedTokens() {
    FairQueue queue = new FairQueue(true, team -> team.equals("heavy") ? 2 : 1);
    for (int i = 0; i < 2_000; i++) {
      queue.add(item("heavy", 300), false);
      queue.add(item("long", 1_900), false);
      queue.add(item("short", 100), false);
    }
    Map<String, Double> served = serve(queue, 400_000);
    assertEquals(served.get("heavy") / 2, served.get("long"), 4_000);
    assertEquals(served.get("short"), served.get("long"), 4_000);
  }

  /** Guards against a new team having to wait for the backlog of a large team. */
  @Test
  public void newTeamIsServedNext() {
    FairQueue queue = new FairQueue(true, team -> 1);
    for (int i = 0; i < 1_000; i++) {
      queue.add(item("large", 400), false);
    }
    serve(queue, 100_000);
    QueuedItem small = item("small", 400);
    queue.add(small, false);
    serve(queue, 600);
    assertTrue(!small.isQueued() || queue.peek(false) == small);
  }

  /** Guards against a team getting more service by spreading its requests over many nodes. */
  @Test
  public void serviceOnOtherNodesCounts() {
    FairQueue queue = new FairQueue(true, team -> 1);
    for (int i = 0; i < 5_000; i++) {
      queue.add(item("spread", 400), false);
      queue.add(item("local", 400), false);
    }
    Map<String, Double> sum = new HashMap<>();
    for (int second = 0; second < 20; second++) {
      queue.chargeRemote("spread", 6_000);
      serve(queue, 20_000).forEach((team, tokens) -> sum.merge(team, tokens, Double::sum));
    }
    double spread = sum.get("spread") + 20 * 6_000;
    assertEquals(spread / sum.get("local"), 1.0, 0.05);
  }

  /** Guards against evicting requests of a team with a small backlog. */
  @Test
  public void evictionTakesFromTheLargestBacklog() {
    FairQueue queue = new FairQueue(true, team -> 1);
    queue.add(item("small", 100), false);
    for (int i = 0; i < 10; i++) {
      queue.add(item("large", 100), false);
    }
    assertEquals(queue.evictionCandidate().item().team(), "large");
  }

  /** Guards against a memory leak: 24,000 teams that went idle must not keep queue state. */
  @Test
  public void idleTeamsAreForgotten() {
    FairQueue queue = new FairQueue(true, team -> 1);
    for (int i = 0; i < 24_000; i++) {
      queue.add(item("team-" + i, 100), false);
    }
    assertEquals(queue.teamCount(), 24_000);
    serve(queue, 24_000 * 200.0);
    queue.add(item("busy", 100), false);
    for (int i = 0; i < 10; i++) {
      queue.add(item("busy", 1_000), false);
      serve(queue, 200);
    }
    queue.refresh();
    assertTrue(queue.teamCount() < 10, "teams: " + queue.teamCount());
  }
}

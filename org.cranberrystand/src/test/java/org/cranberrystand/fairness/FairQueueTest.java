package org.cranberrystand.fairness;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests of {@link FairQueue}. */
public class FairQueueTest {
  /** A request of a team. */
  private static final class Item implements FairItem {
    private final String team;
    private final double costTokens;
    private boolean queued;

    Item(String team, double costTokens) {
      this.team = team;
      this.costTokens = costTokens;
    }

    @Override
    public String team() {
      return team;
    }

    @Override
    public double costTokens() {
      return costTokens;
    }

    @Override
    public boolean isInSecondLane() {
      return false;
    }

    @Override
    public long queuedNanos() {
      return 0;
    }

    @Override
    public long deadlineNanos() {
      return Long.MAX_VALUE;
    }

    @Override
    public void setQueued(boolean value) {
      queued = value;
    }
  }

  private static Item item(String team, int prompt) {
    return new Item(team, prompt + 100);
  }

  private static Map<String, Double> serve(FairQueue<Item> queue, double tokens) {
    Map<String, Double> served = new HashMap<>();
    double sum = 0;
    while (sum < tokens) {
      Item next = queue.peek(false);
      queue.removeDispatched(next);
      served.merge(next.team, next.costTokens, Double::sum);
      sum += next.costTokens;
    }
    return served;
  }

  /**
   * Guards against fairness by request count: a team with long requests would get more tokens than
   * its weight entitles it to.
   */
  @Test
  public void backloggedTeamsAreServedByWeightedTokens() {
    FairQueue<Item> queue = new FairQueue<>(true, team -> team.equals("heavy") ? 2 : 1);
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
    FairQueue<Item> queue = new FairQueue<>(true, team -> 1);
    for (int i = 0; i < 1_000; i++) {
      queue.add(item("large", 400), false);
    }
    serve(queue, 100_000);
    Item small = item("small", 400);
    queue.add(small, false);
    serve(queue, 600);
    assertTrue(!small.queued || queue.peek(false) == small);
  }

  /** Guards against a team getting more service by spreading its requests over many nodes. */
  @Test
  public void serviceOnOtherNodesCounts() {
    FairQueue<Item> queue = new FairQueue<>(true, team -> 1);
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
    FairQueue<Item> queue = new FairQueue<>(true, team -> 1);
    queue.add(item("small", 100), false);
    for (int i = 0; i < 10; i++) {
      queue.add(item("large", 100), false);
    }
    assertEquals(queue.evictionCandidate().team, "large");
  }

  /** Guards against a memory leak: 24,000 teams that went idle must not keep queue state. */
  @Test
  public void idleTeamsAreForgotten() {
    FairQueue<Item> queue = new FairQueue<>(true, team -> 1);
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

package org.cranberrystand.dispatch;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of the shares of teams of different size in a pool. 24 slots serve 60 requests per second;
 * five small teams send 7 per second each, which is below a fair share of 10.
 */
public final class TeamSharesTest {
  private static final int SMALL_TEAMS = 5;
  private static final double SMALL_PER_SECOND = 7;
  private static final int SLOTS = 24;
  private static final int SECONDS = 60;
  private static final int FLEET_SECONDS = 30;
  private static final long REPORT_AGE_MILLIS = 400;

  @DataProvider
  public Object[][] largeTeamRates() {
    return new Object[][] {{20}, {60}, {240}};
  }

  private static List<TeamLoadSimulation.Team> teams(
      double scale, double largePerSecond, int largeNode) {
    List<TeamLoadSimulation.Team> teams = new ArrayList<>();
    for (int i = 0; i < SMALL_TEAMS; i++) {
      teams.add(new TeamLoadSimulation.Team("small" + i, SMALL_PER_SECOND * scale, -1));
    }
    teams.add(new TeamLoadSimulation.Team("large", largePerSecond * scale, largeNode));
    return teams;
  }

  private static void assertSmallTeamsAreServed(
      Map<String, TeamLoadSimulation.Outcome> outcomes, String load) {
    String all = load + ": " + outcomes;
    Reporter.log(all, true);
    outcomes.forEach(
        (team, outcome) -> {
          if (!team.equals("large")) {
            assertTrue(outcome.servedFraction() >= 0.995, all);
            assertTrue(outcome.withinTargetFraction() >= 0.95, all);
          }
        });
  }

  /** Guards against small teams that lose requests because a large team sends too many. */
  @Test(dataProvider = "largeTeamRates")
  public void teamsBelowTheirShareAreServed(int largePerSecond) {
    TeamLoadSimulation simulation = new TeamLoadSimulation(1, SLOTS, 0, largePerSecond);
    Map<String, TeamLoadSimulation.Outcome> outcomes =
        simulation.play(teams(1, largePerSecond, -1), SECONDS);

    assertSmallTeamsAreServed(outcomes, "large team " + largePerSecond + "/s");
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{8, 20, -1}, {8, 20, 0}, {8, 60, -1}, {8, 60, 0}, {8, 240, 0}};
  }

  /**
   * Guards against small teams that lose requests to a large team on other nodes, or on one, about
   * which nodes learn late. The pool and the load grow with the fleet.
   */
  @Test(dataProvider = "fleets")
  public void teamsBelowTheirShareAreServedByFleet(int nodes, int largePerSecond, int largeNode) {
    assertSmallTeamsAreServed(
        playFleet(nodes, largePerSecond, largeNode),
        nodes + " nodes, large team " + largePerSecond + "/s at node " + largeNode);
  }

  @DataProvider
  public Object[][] largeFleets() {
    return new Object[][] {
      {8, 240, -1},
      {90, 20, -1},
      {90, 20, 0},
      {90, 60, -1},
      {90, 60, 0},
      {90, 240, -1},
      {90, 240, 0}
    };
  }

  /** Guards against the same as {@link #teamsBelowTheirShareAreServedByFleet}. */
  @Test(dataProvider = "largeFleets")
  public void teamsBelowTheirShareAreServedByLargeFleet(
      int nodes, int largePerSecond, int largeNode) {
    assertSmallTeamsAreServed(
        playFleet(nodes, largePerSecond, largeNode),
        nodes + " nodes, large team " + largePerSecond + "/s at node " + largeNode);
  }

  private static Map<String, TeamLoadSimulation.Outcome> playFleet(
      int nodes, int largePerSecond, int largeNode) {
    int scale = nodes <= 8 ? 1 : nodes / 8;
    TeamLoadSimulation simulation =
        new TeamLoadSimulation(nodes, SLOTS * scale, REPORT_AGE_MILLIS, nodes + largePerSecond);
    return simulation.play(teams(scale, largePerSecond, largeNode), FLEET_SECONDS);
  }
}

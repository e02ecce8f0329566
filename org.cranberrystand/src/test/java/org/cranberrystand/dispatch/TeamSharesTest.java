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
}

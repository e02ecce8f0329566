package org.cranberrystand.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.routing.TokenQuota;
import org.testng.annotations.Test;

public final class QuotaLedgerTest {
  private static final long SECOND = 1_000_000_000L;
  private static final QuotaTolerance NONE = new QuotaTolerance(8, 0, 0);
  private static final TeamPolicy TEAM =
      new TeamPolicy(
          "estrela",
          ImmutableSet.of("k"),
          OptionalInt.empty(),
          new TokenQuota(1_000, 1_000, true, 200));

  private static int admitted(QuotaLedger ledger, int requests, long now) {
    int count = 0;
    for (int i = 0; i < requests; i++) {
      count += ledger.tryConsume(TEAM, 100, true, now) ? 1 : 0;
    }
    return count;
  }

  @Test
  public void burstThenRateIsAdmitted() {
    QuotaLedger ledger = new QuotaLedger(NONE, false);

    assertEquals(admitted(ledger, 50, 0), 10);
    assertEquals(admitted(ledger, 50, SECOND / 2), 5);
  }

  /** Guards against a share of a team that ignores, or counts twice, what it used elsewhere. */
  @Test
  public void listenerIsToldTheIncreaseOfUsageOfOtherNodes() {
    QuotaLedger ledger = new QuotaLedger(NONE, false);
    List<Double> told = new ArrayList<>();
    ledger.setUsageListener((team, tokens) -> told.add(tokens));
    admitted(ledger, 1, 0);
    for (double used : new double[] {500, 800, 800, 700}) {
      ledger.reported(
          "n2/1",
          QuotaLedger.Coverage.OWN_CELL,
          ImmutableMap.of("estrela", used),
          ImmutableMap.of(),
          0);
    }

    assertEquals(told, List.of(300.0, 0.0, -100.0));
  }

  /** Guards against a team that gets its full quota from every node. */
  @Test
  public void usageOfOtherNodesCounts() {
    QuotaLedger ledger = new QuotaLedger(NONE, false);
    admitted(ledger, 1, 0);
    ledger.reported(
        "n2/1",
        QuotaLedger.Coverage.OWN_CELL,
        ImmutableMap.of("estrela", 0.0),
        ImmutableMap.of(),
        0);
    ledger.reported(
        "n2/1",
        QuotaLedger.Coverage.OWN_CELL,
        ImmutableMap.of("estrela", 800.0),
        ImmutableMap.of(),
        0);

    assertEquals(admitted(ledger, 50, 0), 1);
  }

  /** Guards against a node that grants the burst again after each restart. */
  @Test
  public void startingNodeAdoptsTheReportedBalance() {
    QuotaLedger ledger = new QuotaLedger(NONE, false);
    ledger.reported(
        "n2/1",
        QuotaLedger.Coverage.OWN_CELL,
        ImmutableMap.of("estrela", 5_000.0),
        ImmutableMap.of("estrela", 200.0),
        0);

    assertEquals(admitted(ledger, 50, 0), 2);
  }

  /** Guards against a large fleet that refuses the burst of a team when the fleet starts. */
  @Test
  public void wholeBurstIsGrantedWhenTheFleetStarts() {
    QuotaLedger ledger = new QuotaLedger(NONE, true);
    for (int i = 0; i < 75; i++) {
      ledger.reported(
          "n" + i, QuotaLedger.Coverage.OWN_CELL, ImmutableMap.of(), ImmutableMap.of(), 0);
    }

    assertEquals(admitted(ledger, 50, 0), 10);
  }

  /** Guards against a fleet that grants the burst again after all nodes were killed. */
  @Test
  public void onlyAShareIsGrantedAfterAllNodesRestarted() {
    QuotaLedger ledger = new QuotaLedger(NONE, false);
    for (int i = 0; i < 4; i++) {
      ledger.reported(
          "n" + i, QuotaLedger.Coverage.OWN_CELL, ImmutableMap.of(), ImmutableMap.of(), 0);
    }

    assertEquals(admitted(ledger, 50, 0), 2);
  }

  /** Guards against usage counted twice, in the report of a node and in the sum of its cell. */
  @Test
  public void sumsOfOtherCellsAreSeparate() {
    QuotaLedger ledger = new QuotaLedger(NONE, true);
    admitted(ledger, 1, 0);
    for (double used : new double[] {0, 300}) {
      ledger.reported(
          "n2/1",
          QuotaLedger.Coverage.OWN_CELL,
          ImmutableMap.of("estrela", used),
          ImmutableMap.of(),
          0);
      ledger.reported(
          "n3/1/c",
          QuotaLedger.Coverage.OTHER_CELLS,
          ImmutableMap.of("estrela", used),
          ImmutableMap.of(),
          0);
    }

    assertEquals(ledger.usedUnits(QuotaLedger.Coverage.THIS_NODE).get("estrela"), 100.0);
    assertEquals(ledger.usedUnits(QuotaLedger.Coverage.OWN_CELL).get("estrela"), 400.0);
    assertEquals(ledger.usedUnits(QuotaLedger.Coverage.OTHER_CELLS).get("estrela"), 300.0);
    assertEquals(ledger.balanceUnits("estrela"), 300.0);
  }

  /**
   * Guards against a balance that falls with the reported usage of other nodes and is refilled only
   * at the team's next request. A node that started with such a balance refused the team until the
   * deficit was refilled.
   */
  @Test
  public void reportedBalanceIncludesTheRefill() {
    QuotaLedger rarelyUsed = new QuotaLedger(NONE, true);
    admitted(rarelyUsed, 1, 0);
    for (int second = 0; second <= 10; second++) {
      rarelyUsed.reported(
          "n2/1",
          QuotaLedger.Coverage.OWN_CELL,
          ImmutableMap.of("estrela", 800.0 * second),
          ImmutableMap.of(),
          second * SECOND);
    }
    double balance = rarelyUsed.balances(10 * SECOND).get("estrela");
    assertTrue(balance >= 0, "balance " + balance);

    QuotaLedger startedLater = new QuotaLedger(NONE, false);
    startedLater.reported(
        "n1/1",
        QuotaLedger.Coverage.OWN_CELL,
        ImmutableMap.of(),
        ImmutableMap.of("estrela", -9_000.0),
        0);
    startedLater.reported(
        "n2/1",
        QuotaLedger.Coverage.OWN_CELL,
        ImmutableMap.of(),
        ImmutableMap.of("estrela", balance),
        10 * SECOND);
    startedLater.tryConsume(TEAM, 0, true, 10 * SECOND);
    assertEquals(startedLater.balanceUnits("estrela"), balance, 1_000);
  }

  /** Guards against two sides of a partition that each admit the full rate. */
  @Test
  public void onlyAFractionOfTheRateIsGrantedWhileNodesAreUnreachable() {
    QuotaLedger ledger = new QuotaLedger(NONE, false);
    admitted(ledger, 50, 0);
    ledger.setVisibleFraction(0.5);

    assertEquals(admitted(ledger, 50, SECOND), 5);
  }

  @Test
  public void requestsThatDidNotRunAreRefunded() {
    QuotaLedger ledger = new QuotaLedger(NONE, false);
    admitted(ledger, 10, 0);
    ledger.refund(TEAM, 100);

    assertTrue(ledger.tryConsume(TEAM, 100, true, 0));
    assertEquals(ledger.usedUnits(QuotaLedger.Coverage.THIS_NODE).get("estrela"), 1_000.0);
  }

  @Test
  public void requestWithoutTokensCostsTheDefault() {
    QuotaLedger ledger = new QuotaLedger(NONE, false);
    ledger.tryConsume(TEAM, 0, true, 0);

    assertEquals(ledger.usedUnits(QuotaLedger.Coverage.THIS_NODE).get("estrela"), 200.0);
  }

  static final QuotaTolerance TOLERANCE = new QuotaTolerance(8, 0.25, 140_000);
  static final TeamPolicy LARGE_TEAM =
      new TeamPolicy(
          "large",
          ImmutableSet.of("k"),
          OptionalInt.empty(),
          new TokenQuota(29_000, 60_000, true, 200));

  /** Guards against a team that exceeds its quota at the expense of the requests that wait. */
  @Test
  public void surplusIsGrantedFromSpareCapacityOnly() {
    QuotaLedger ledger = new QuotaLedger(TOLERANCE, true);
    assertTrue(ledger.tryConsume(LARGE_TEAM, 60_000, false, 0));

    assertFalse(ledger.tryConsume(LARGE_TEAM, 5_000, false, 0));
    assertTrue(ledger.tryConsume(LARGE_TEAM, 5_000, true, 0));
  }

  /** Guards against large requests that never find enough balance between small ones. */
  @Test
  public void largeRequestsGetTheirShareOfTheSurplus() {
    QuotaLedger ledger = new QuotaLedger(TOLERANCE, true);
    Random random = new Random(1);
    int[] admitted = new int[2];
    for (int i = 0; i < 20_000; i++) {
      boolean large = random.nextInt(10) == 0;
      if (ledger.tryConsume(LARGE_TEAM, large ? 40_000 : 2_000, true, i * SECOND / 200)) {
        admitted[large ? 1 : 0]++;
      }
    }
    assertTrue(admitted[1] > admitted[0] / 9 / 2, admitted[1] + " large, " + admitted[0]);
  }
}

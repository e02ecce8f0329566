package org.cranberrystand.dispatch;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import org.testng.annotations.Test;

/** Quotas of a fleet whose nodes learn of each other's usage with a delay. */
public final class QuotaFloodTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int REPORT_INTERVAL_TICKS = 9;

  /** What a node reports of its teams. */
  private record Report(ImmutableMap<String, Double> used, ImmutableMap<String, Double> balances) {}

  /**
   * Guards against a fleet that exceeds the tolerance because its nodes learn of each other's usage
   * late. The team floods all nodes after a calm time, with 15 times its quota.
   */
  @Test
  public void smallFleetStaysWithinTheToleranceInAFlood() {
    assertWithinTolerance(2, 9, 450_000, QuotaReports.DIRECT);
    assertWithinTolerance(9, 9, 450_000, QuotaReports.DIRECT);
    assertWithinTolerance(9, 20, 450_000, QuotaReports.DIRECT);
  }

  /** Guards against the same in a fleet of cells, when the team sends 4 times its quota. */
  @Test
  public void largeFleetStaysWithinTheTolerance() {
    assertWithinTolerance(90, 40, 122_000, QuotaReports.BETWEEN_CELLS);
  }

  /** Guards against the same in a fleet of cells, in a flood of 15 times the quota. */
  @Test
  public void largeFleetStaysWithinTheToleranceInAFlood() {
    assertWithinTolerance(90, 40, 450_000, QuotaReports.BETWEEN_CELLS);
  }

  private static void assertWithinTolerance(
      int nodes, int delayTicks, double offeredPerSecond, QuotaReports reports) {
    Random random = new Random(nodes);
    List<QuotaLedger> fleet = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      QuotaLedger ledger = new QuotaLedger(QuotaLedgerTest.TOLERANCE, true);
      ledger.setReports(reports);
      fleet.add(ledger);
    }
    Queue<List<Report>> underway = new ArrayDeque<>();
    List<double[]> usedByTick = new ArrayList<>();
    double offered = 0;
    for (int tick = 0; tick < 2_000; tick++) {
      long now = tick * SECOND / 100;
      double[] used = new double[nodes];
      offered += tick < 500 ? 0 : offeredPerSecond / 100;
      while (offered > 0) {
        long cost = random.nextInt(20) == 0 ? 30_000 : 3_000;
        offered -= cost;
        int node = random.nextInt(nodes);
        used[node] +=
            fleet.get(node).tryConsume(QuotaLedgerTest.LARGE_TEAM, cost, true, now) ? cost : 0;
      }
      usedByTick.add(used);
      if (tick % REPORT_INTERVAL_TICKS == 0) {
        underway.add(sendReports(fleet, now));
      }
      if (tick % REPORT_INTERVAL_TICKS == 0 && tick >= delayTicks) {
        deliver(underway.remove(), fleet, now);
      }
    }
    double limit = (29_000 * 8 + 60_000) * 1.25 + 140_000;
    for (int from = 0; from + 800 <= usedByTick.size(); from += 50) {
      double inWindow =
          usedByTick.subList(from, from + 800).stream()
              .mapToDouble(used -> Arrays.stream(used).sum())
              .sum();
      assertTrue(inWindow <= limit, inWindow + " of " + limit + " from " + from);
    }
  }

  /** Returns the report of each node as it is sent now. */
  private static List<Report> sendReports(List<QuotaLedger> fleet, long now) {
    return fleet.stream()
        .map(
            ledger ->
                new Report(ledger.usedUnits(QuotaLedger.Coverage.THIS_NODE), ledger.balances(now)))
        .toList();
  }

  private static void deliver(List<Report> reports, List<QuotaLedger> fleet, long now) {
    for (int sender = 0; sender < fleet.size(); sender++) {
      Report report = reports.get(sender);
      for (int receiver = 0; receiver < fleet.size(); receiver++) {
        if (receiver != sender) {
          fleet
              .get(receiver)
              .reported(
                  "n" + sender,
                  QuotaLedger.Coverage.OWN_CELL,
                  report.used(),
                  report.balances(),
                  now);
        }
      }
    }
  }
}

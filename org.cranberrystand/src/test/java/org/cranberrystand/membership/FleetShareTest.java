package org.cranberrystand.membership;

import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.cranberrystand.dispatch.RateBound;
import org.cranberrystand.dispatch.UpstreamLimits;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Requests that limited and cold upstreams receive from random fleets whose nodes disagree about
 * which nodes there are. The nodes are assumed to send as early as they may, all in phase.
 */
public final class FleetShareTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long SPLIT_SECONDS = 150;
  private static final int FLEETS = 12;
  private static final int UPSTREAMS = 60;

  /** A node takes up to this much less than its share, since it allows for jitter on the way. */
  private static final double MIN_USED_FRACTION = 0.9;

  private static final ImmutableList<RateBound> BOUNDS =
      ImmutableList.of(
          RateBound.ofColdUpstream(9.3, 1.5, 5),
          RateBound.ofColdUpstream(0.6, 1.5, 5),
          RateBound.ofColdUpstream(3, 1.5, 5),
          RateBound.ofColdUpstream(25, 1.5, 5),
          RateBound.ofStatedLimit(0),
          RateBound.ofStatedLimit(1.2),
          RateBound.ofStatedLimit(2.2),
          RateBound.ofStatedLimit(12),
          RateBound.ofStatedLimit(40));

  /** How the fleet is connected after its start. */
  private enum Split {
    NONE,
    HALVES
  }

  @DataProvider
  public Object[][] fleets() {
    List<Object[]> cases = new ArrayList<>();
    for (int nodes : new int[] {8, 30, 90}) {
      for (double wrong : new double[] {0, 0.05, 0.2}) {
        for (Split split : Split.values()) {
          cases.add(new Object[] {nodes, wrong, split});
        }
      }
    }
    return cases.toArray(Object[][]::new);
  }

  private static NodeInfo node(int number) {
    String host = "10." + number % 4 + ".0." + (10 + number / 4);
    return new NodeInfo("n" + number, host, "c" + number, true, 1);
  }

  private static PeerReport report(PeerTable sender, long nowNanos) {
    return new PeerReport(
        sender.self(),
        1,
        nowNanos + 1,
        ReportScope.NODE,
        sender.nodeCount(nowNanos),
        sender.cellCount(),
        false,
        new PublishedVersion(0, 0),
        false,
        ReportedLoad.NONE,
        SharedObservations.NONE,
        ImmutableList.of());
  }

  /** Starts a fleet in which each node fails to hear each other one with some probability. */
  private static List<PeerTable> startFleet(int nodes, double wrong, Split split, Random random) {
    List<PeerTable> tables = new ArrayList<>();
    for (int i = 0; i < nodes; i++) {
      tables.add(new PeerTable(node(i)));
      tables.get(i).setAcceptsCallers(true);
      tables.get(i).expectPeers();
    }
    boolean[][] hears = new boolean[nodes][nodes];
    for (boolean[] row : hears) {
      for (int i = 0; i < nodes; i++) {
        row[i] = random.nextDouble() >= wrong;
      }
    }
    for (int second = 0; second < 3; second++) {
      exchange(tables, hears, Split.NONE, second * SECOND);
    }
    if (split != Split.NONE) {
      for (int second = 3; second <= SPLIT_SECONDS; second++) {
        exchange(tables, hears, split, second * SECOND);
      }
    }
    return tables;
  }

  private static void exchange(
      List<PeerTable> tables, boolean[][] hears, Split split, long nowNanos) {
    int half = tables.size() / 2;
    for (int from = 0; from < tables.size(); from++) {
      PeerReport report = report(tables.get(from), nowNanos);
      for (int to = 0; to < tables.size(); to++) {
        boolean connected = split == Split.NONE || (from < half) == (to < half);
        if (connected && hears[to][from]) {
          tables.get(to).receive(report, nowNanos);
        }
      }
    }
    tables.forEach(table -> table.refresh(nowNanos));
  }

  /** Guards against nodes that exceed a limit because their views of the fleet differ. */
  @Test(dataProvider = "fleets")
  public void fleetKeepsLimitsWhateverItsNodesKnow(int nodes, double wrong, Split split) {
    Random random = new Random(nodes + Math.round(1_000 * wrong));
    long now = (split == Split.NONE ? 2 : SPLIT_SECONDS) * SECOND;
    double[] most = new double[BOUNDS.size()];
    double[] rates = new double[BOUNDS.size()];
    for (int fleet = 0; fleet < FLEETS; fleet++) {
      List<RateShare> shares =
          startFleet(nodes, wrong, split, random).stream()
              .map(table -> table.rateShare(now))
              .toList();
      for (int upstream = 0; upstream < UPSTREAMS; upstream++) {
        for (int i = 0; i < BOUNDS.size(); i++) {
          RateBound bound = BOUNDS.get(i);
          double requests = 0;
          for (RateShare share : shares) {
            long interval = share.minIntervalNanos("i-" + fleet + "-" + upstream, bound);
            if (interval != UpstreamLimits.NEVER) {
              requests += 1 + Math.floor(bound.windowSeconds() * SECOND / interval);
              rates[i] += (double) SECOND / interval / FLEETS / UPSTREAMS;
            }
          }
          most[i] = Math.max(most[i], requests);
        }
      }
    }
    StringBuilder measured = new StringBuilder();
    boolean kept = true;
    boolean used = true;
    for (int i = 0; i < BOUNDS.size(); i++) {
      RateBound bound = BOUNDS.get(i);
      measured.append(
          String.format(
              "%n%s: most %.0f of %d, mean rate %.2f",
              bound, most[i], bound.maxPerWindow(), rates[i]));
      kept &= most[i] <= bound.maxPerWindow();
      used &= rates[i] >= MIN_USED_FRACTION * bound.perSecond();
    }
    Reporter.log("nodes " + nodes + " wrong " + wrong + " split " + split + measured);
    assertTrue(kept, "limit exceeded:" + measured);
    assertTrue(used, "limit not used:" + measured);
  }
}

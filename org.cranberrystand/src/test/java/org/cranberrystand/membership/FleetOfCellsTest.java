package org.cranberrystand.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import org.cranberrystand.dispatch.QuotaLedger;
import org.cranberrystand.dispatch.QuotaLedger.Coverage;
import org.cranberrystand.dispatch.QuotaTolerance;
import org.cranberrystand.dispatch.UpstreamUsage;
import org.cranberrystand.routing.TeamPolicy;
import org.cranberrystand.routing.TokenQuota;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Factory;
import org.testng.annotations.Test;

/** Simulates the reports of a fleet in fixed time steps, without a network. */
public final class FleetOfCellsTest {
  private static final long STEP_NANOS = 100_000_000L;
  private static final int SIZE = 80;
  private static final String ENGINE = "e";
  private static final double BURST = 1e9;
  private static final TeamPolicy TEAM =
      new TeamPolicy(
          "estrela", ImmutableSet.of(), OptionalInt.empty(), new TokenQuota(1e-9, BURST, true, 1));

  /** A simulated node with its report table, targets and quota ledger. */
  private static final class Node {
    private final NodeInfo self;
    private final PeerTable table;
    private final PeerTargets targets;
    private final QuotaLedger quotaLedger = new QuotaLedger(new QuotaTolerance(8, 0, 0), true);
    private boolean readsStore = true;
    private long sequence;
    private int sentReports;
    private long sentNanos;
    private long discoverySentNanos;

    private Node(int number, String domain) {
      double cores = number < 8 ? 1.5 : 0.4;
      self = new NodeInfo("n" + number, host(number), "c" + number, true, cores, domain);
      table = new PeerTable(self);
      table.setAcceptsCallers(true);
      targets = new PeerTargets(table, ImmutableSet.of(host(0), host(30), host(60)), number);
    }

    private ReportedLoad load(Coverage coverage, long now) {
      return new ReportedLoad(
          ImmutableMap.of(ENGINE, new UpstreamUsage(1, 100)),
          quotaLedger.usedUnits(coverage),
          quotaLedger.balances(now));
    }

    /** Handles a report as the gateway does. */
    private PeerTable.ReceiveResult receive(PeerReport report, long now) {
      PeerTable.ReceiveResult result = table.receive(report, now);
      if (result == PeerTable.ReceiveResult.APPLIED) {
        boolean singleNode = report.scope() == ReportScope.NODE;
        quotaLedger.reported(
            report.senderInstance() + "/" + report.scope().code(),
            singleNode ? Coverage.OWN_CELL : Coverage.OTHER_CELLS,
            report.load().usedQuotaUnits(),
            report.load().quotaBalanceUnits(),
            now);
      }
      return result;
    }

    private PeerReport nodeReport(boolean replyRequested, long now) {
      return report(
          ReportScope.NODE,
          replyRequested,
          load(Coverage.THIS_NODE, now),
          targets.nodesToAdvertise(now),
          now);
    }

    private PeerReport report(
        ReportScope scope,
        boolean replyRequested,
        ReportedLoad load,
        List<NodeInfo> listedNodes,
        long now) {
      return new PeerReport(
          table.self(),
          1,
          ++sequence,
          scope,
          table.nodeCount(now),
          table.layout().key(),
          replyRequested,
          new PublishedVersion(0, 1),
          readsStore && !table.isStoreReadByOthers(now),
          load,
          SharedObservations.NONE,
          ImmutableList.copyOf(listedNodes));
    }
  }

  private final int domains;
  private final Map<String, Node> fleet = new LinkedHashMap<>();
  private long now;
  private boolean consumingQuota;
  private double consumedUnits;

  private static String host(int number) {
    return "10." + number % 4 + ".0." + (10 + number / 4);
  }

  /**
   * Creates the test.
   *
   * @param domains the number of failure domains; 0 if the nodes do not know theirs
   */
  @Factory(dataProvider = "domainCounts")
  public FleetOfCellsTest(int domains) {
    this.domains = domains;
  }

  /** Returns the numbers of failure domains with which all tests run. */
  @DataProvider
  public static Object[][] domainCounts() {
    return new Object[][] {{0}, {4}};
  }

  private Node newNode(int number) {
    return new Node(number, domains == 0 ? "" : "fd-" + number % domains);
  }

  private void start(int count) {
    fleet.clear();
    now = 0;
    consumingQuota = false;
    consumedUnits = 0;
    for (int i = 0; i < count; i++) {
      Node node = newNode(i);
      fleet.put(node.self.host(), node);
    }
  }

  private void runSteps(int count) {
    for (int i = 0; i < count; i++) {
      now += STEP_NANOS;
      for (Node node : List.copyOf(fleet.values())) {
        node.table.refresh(now);
        if (consumingQuota) {
          assertTrue(node.quotaLedger.tryConsume(TEAM, 100, true, now));
          consumedUnits += 100;
        }
        if (now - node.sentNanos >= node.targets.reportIntervalNanos(true)) {
          node.sentNanos = now;
          boolean replyRequested = node.table.cellCount() == 1;
          send(node, node.nodeReport(replyRequested, now), node.targets.ownCellHosts());
        }
        if (now - node.discoverySentNanos >= node.targets.discoveryIntervalNanos(now)) {
          node.discoverySentNanos = now;
          send(node, node.nodeReport(true, now), node.targets.discoveryHosts(now));
        }
        if (node.table.isHead(now)) {
          sendAggregates(node);
        }
      }
    }
  }

  private void sendAggregates(Node node) {
    send(
        node,
        node.report(
            ReportScope.CELL,
            false,
            node.table.ownCellLoad(node.load(Coverage.OWN_CELL, now), now),
            node.targets.ownCellNodes(now),
            now),
        node.targets.otherHeadHosts(now));
    send(
        node,
        node.report(
            ReportScope.OTHER_CELLS,
            false,
            node.table.otherCellsLoad(node.load(Coverage.OTHER_CELLS, now), now),
            node.targets.otherCellNodes(now),
            now),
        node.targets.ownCellHosts());
  }

  private void send(Node from, PeerReport report, Set<String> hosts) {
    from.sentReports += hosts.size();
    for (String host : hosts) {
      Node to = fleet.get(host);
      if (to != null
          && to.receive(report, now) == PeerTable.ReceiveResult.REPLY_REQUIRED
          && fleet.containsKey(from.self.host())) {
        PeerReport reply =
            to.report(
                ReportScope.NODE,
                false,
                to.load(Coverage.THIS_NODE, now),
                to.targets.nodesForReply(from.self, now),
                now);
        to.sentReports++;
        from.receive(reply, now);
      }
    }
  }

  private int runningRequestsSeenBy(Node node) {
    UpstreamUsage usage = node.table.peerLoad(now).usage().get(ENGINE);
    return usage == null ? 0 : usage.running();
  }

  private List<Node> heads() {
    return fleet.values().stream().filter(node -> node.table.isHead(now)).toList();
  }

  /** Guards against nodes of a large fleet that start together and never discover each other. */
  @Test
  public void nodesStartedTogetherSeeUsageOfAll() {
    start(SIZE);
    runSteps(20);

    for (Node node : fleet.values()) {
      assertEquals(node.table.nodeCount(now), SIZE, node.self.node());
      assertEquals(runningRequestsSeenBy(node), SIZE - 1, node.self.node());
    }
    assertEquals(heads().size(), CellLayout.cellCount(SIZE));
  }

  @Test
  public void nodesOfSmallFleetsReportToAllOthers() {
    start(8);
    runSteps(5);

    for (Node node : fleet.values()) {
      assertEquals(runningRequestsSeenBy(node), 7);
      assertTrue(!node.table.isHead(now));
    }
  }

  /** Guards against the permanent loss of the load of a whole cell when its head fails. */
  @Test
  public void failedHeadsAreReplaced() {
    start(SIZE);
    runSteps(20);
    int before = heads().size();
    heads().forEach(node -> fleet.remove(node.self.host()));
    int remaining = fleet.size();
    runSteps(30);

    assertEquals(heads().size(), before);
    for (Node node : fleet.values()) {
      assertEquals(runningRequestsSeenBy(node), remaining - 1, node.self.node());
    }
  }

  /**
   * Guards against restarted nodes, which have lost their state, that others keep treating as gone.
   */
  @Test
  public void restartedNodesAreRediscovered() {
    start(SIZE);
    runSteps(20);
    for (int i = 0; i < SIZE; i += 2) {
      Node node = newNode(i);
      node.sequence = 1_000_000;
      fleet.put(node.self.host(), node);
    }
    runSteps(20);

    for (Node node : fleet.values()) {
      assertEquals(runningRequestsSeenBy(node), SIZE - 1, node.self.node());
    }
  }

  /** Guards against report traffic that grows linearly with the fleet and exceeds a slow link. */
  @Test
  public void reportsPerNodeGrowWithTheSquareRootOfTheFleet() {
    int small = maxReportsPerStep(76);
    int large = maxReportsPerStep(304);

    assertTrue(large <= 3 * small, "from " + small + " to " + large + " reports per step");
  }

  private int maxReportsPerStep(int size) {
    start(size);
    runSteps(20);
    fleet.values().forEach(node -> node.sentReports = 0);
    runSteps(10);
    return fleet.values().stream().mapToInt(node -> node.sentReports).max().orElseThrow() / 10;
  }

  private void assertCountedUsageWithin(double min, double max) {
    for (Node node : fleet.values()) {
      double counted = BURST - node.quotaLedger.balanceUnits(TEAM.name());
      assertTrue(
          counted >= min - 1 && counted <= max + 1,
          node.self.node() + " counts " + counted + " of " + consumedUnits + " units");
    }
  }

  /** Guards against usage that is counted twice, so that teams within their quota are rejected. */
  @Test
  public void quotaUsageOfAllNodesIsCountedOnce() {
    start(SIZE);
    fleet.values().forEach(node -> node.quotaLedger.tryConsume(TEAM, 0, true, now));
    runSteps(20);
    double before = consumedUnits + SIZE;
    consumingQuota = true;
    runSteps(30);
    consumingQuota = false;
    runSteps(15);

    assertCountedUsageWithin(consumedUnits, before + consumedUnits);
  }

  @Test
  public void quotaUsageIsNotCountedTwiceWhenHeadsChange() {
    start(SIZE);
    fleet.values().forEach(node -> node.quotaLedger.tryConsume(TEAM, 0, true, now));
    runSteps(20);
    consumingQuota = true;
    runSteps(10);
    heads().forEach(node -> fleet.remove(node.self.host()));
    runSteps(30);
    consumingQuota = false;
    runSteps(15);

    assertCountedUsageWithin(0.7 * consumedUnits, consumedUnits + SIZE);
  }

  /** Guards against every node of a large fleet reading every change from the store. */
  @Test
  public void fewNodesOfACellReadTheStore() {
    start(SIZE);
    runSteps(20);
    long readers = countStoreReaders();
    assertTrue(readers <= 3L * CellLayout.cellCount(SIZE), readers + " readers");
    assertTrue(readers >= 2L * CellLayout.cellCount(SIZE), readers + " readers");

    // Readers that cannot reach the store are replaced by other nodes of their cell.
    fleet.values().stream()
        .filter(node -> !node.table.isStoreReadByOthers(now))
        .forEach(node -> node.readsStore = false);
    runSteps(10);
    for (Node node : fleet.values()) {
      long cellReaders =
          fleet.values().stream()
              .filter(other -> other.readsStore && other.table.ownCell() == node.table.ownCell())
              .filter(other -> !other.table.isStoreReadByOthers(now))
              .count();
      long readersAvailable =
          fleet.values().stream()
              .filter(other -> other.readsStore && other.table.ownCell() == node.table.ownCell())
              .count();
      assertTrue(
          cellReaders >= Math.min(readersAvailable, 2),
          node.self.node() + ": " + cellReaders + " readers of " + readersAvailable);
    }
  }

  private long countStoreReaders() {
    return fleet.values().stream().filter(n -> !n.table.isStoreReadByOthers(now)).count();
  }

  /** Guards against an upstream that no cell prefers, or that several cells prefer. */
  @Test
  public void everyUpstreamHasOnePreferredCell() {
    start(SIZE);
    runSteps(20);
    for (int i = 0; i < 63; i++) {
      String engine = "engine-" + i;
      List<Integer> preferringCells = new ArrayList<>();
      for (Node node : fleet.values()) {
        if (node.table.isPreferredUpstream(engine, node.table.cellWeights(now))) {
          preferringCells.add(node.table.ownCell());
        }
      }
      assertEquals(preferringCells.stream().collect(Collectors.toSet()).size(), 1, engine);
    }
  }

  /** Guards against reports of every node to nodes of other failure domains. */
  @Test
  public void nodesOfACellAreInOneDomainIfTheyKnowTheirs() {
    start(SIZE);
    runSteps(20);
    for (Node node : fleet.values()) {
      Set<String> cellDomains =
          fleet.values().stream()
              .filter(other -> node.table.isInOwnCell(other.self))
              .map(other -> other.self.failureDomain())
              .collect(Collectors.toSet());
      assertEquals(cellDomains, Set.of(node.self.failureDomain()));
      assertEquals(node.table.layout(), fleet.get(host(0)).table.layout());
      assertEquals(node.table.layout().domains().size(), domains);
    }
  }

  /** Guards against halves of a fleet that lost a failure domain and disagree about the cells. */
  @Test
  public void remainingNodesAgreeAfterTheLossOfADomainAndItsReturn() {
    start(SIZE);
    runSteps(20);
    for (int i = 0; i < SIZE; i += 4) {
      fleet.remove(host(i));
    }
    runSteps(150);
    int remaining = fleet.size();
    for (Node node : fleet.values()) {
      assertEquals(runningRequestsSeenBy(node), remaining - 1, node.self.node());
    }
    for (int i = 0; i < SIZE; i += 4) {
      Node node = newNode(i);
      node.sequence = 1_000_000;
      fleet.put(host(i), node);
    }
    runSteps(40);
    for (Node node : fleet.values()) {
      assertEquals(runningRequestsSeenBy(node), SIZE - 1, node.self.node());
    }
  }

  /** Guards against cells that differ among nodes while a node of an earlier build is left. */
  @Test
  public void oneNodeWithoutDomainMakesAllUseCellsOfTheWholeFleet() {
    start(SIZE);
    fleet.put(host(5), new Node(5, ""));
    runSteps(30);
    for (Node node : fleet.values()) {
      assertEquals(node.table.layout().domains(), List.of(), node.self.node());
      assertEquals(runningRequestsSeenBy(node), SIZE - 1, node.self.node());
    }
  }
}
